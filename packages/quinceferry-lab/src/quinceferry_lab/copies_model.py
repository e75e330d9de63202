"""Model of copies of a journal entry at peers while the key-value service is out.

An owner registers holders in its incarnation record, appends one entry, has a copy held and then
dispatches on its outage tokens. A recoverer closes the record and the journal, asks the registered
holders, and frees the outage tokens once all have answered. Messages are delayed at will and may
overtake each other; a registration's answer may be lost before or after it took effect; a holder's
process may be replaced at the same address.
"""

from collections.abc import Iterator
from dataclasses import replace
from enum import Enum, IntEnum
from typing import NamedTuple

from quinceferry_lab.protocol_model import Guard, Model, Step

MAX_REGISTRATIONS = 3
HOLDERS = (0, 1)
ENTRY_POSITION = 0

Guards = frozenset[Guard]
Holders = frozenset[int]

NOBODY: Holders = frozenset()
CHOICES: tuple[Holders, ...] = (frozenset({0}), frozenset({1}), frozenset({0, 1}))


class Stage(Enum):
    """How far the owner has come with its entry."""

    NEW = "new"
    APPENDED = "appended"
    DISPATCHED = "dispatched"


class Closed(IntEnum):
    """What the recoverer has closed."""

    NOTHING = 0
    RECORD = 1
    JOURNAL = 2


class Peer(NamedTuple):
    """A holder's process; ``is_replaced`` when another took over its address."""

    is_replaced: bool = False
    has_copy: bool = False
    is_sealed: bool = False


class Release(NamedTuple):
    """A message that the entries before a position are durable."""

    holder: int
    durable_before: int


class CopiesState(NamedTuple):
    """State of the owner, the record, the holders and the recoverer.

    ``recorded`` are the holders in the record, ``known`` those the owner believes to be there,
    ``used`` those it sends copies to. ``writes`` may still take effect; ``awaited`` is the write
    whose answer the owner waits for. ``held_by`` are the holders that have told the owner that they
    hold the copy.
    """

    recorded: Holders = NOBODY
    writes: frozenset[Holders] = frozenset()
    known: Holders = NOBODY
    used: Holders = NOBODY
    awaited: Holders | None = None
    is_registered: bool = False
    registrations: int = 0
    stage: Stage = Stage.NEW
    is_durable: bool = False
    knows_durable: bool = False
    copies: Holders = NOBODY
    held_by: Holders = NOBODY
    releases: frozenset[Release] = frozenset()
    peers: tuple[Peer, Peer] = (Peer(), Peer())
    closed: Closed = Closed.NOTHING
    answered: Holders = NOBODY
    is_collected: bool = False
    is_freed: bool = False


def steps(state: CopiesState, guards: Guards) -> Iterator[Step]:
    """Return all steps possible in a state."""
    yield from _registration_steps(state, guards)
    yield from _entry_steps(state, guards)
    yield from _record_steps(state)
    for index in HOLDERS:
        yield from _holder_steps(state, index, guards)
    yield from _recoverer_steps(state, guards)


def _registration_steps(state: CopiesState, guards: Guards) -> Iterator[Step]:
    """Return the owner's steps to change its registered holders, while every entry is durable."""
    if state.awaited is not None:
        given_up = state._replace(awaited=None)
        yield "the owner gives up waiting for its registration", given_up
        return
    may_change = _is_flushed(state) or Guard.CHANGED_WHILE_DURABLE not in guards
    if not may_change or state.registrations >= MAX_REGISTRATIONS:
        return
    for chosen in CHOICES:
        if state.is_registered and chosen == state.known:
            continue
        narrowed = state._replace(
            used=state.used & chosen, is_registered=False, registrations=state.registrations + 1
        )
        if chosen == state.known and Guard.REGISTRATION_REPEATED not in guards:
            trusted = narrowed._replace(used=chosen, is_registered=True)
            yield f"the owner takes {_names(chosen)} to be registered still", trusted
        else:
            # A record that was closed meanwhile has another version, so the write fails.
            is_open = state.closed is Closed.NOTHING
            writes = state.writes | {chosen} if is_open else state.writes
            sent = narrowed._replace(writes=writes, awaited=chosen)
            yield f"the owner sends a registration of {_names(chosen)}", sent


def _entry_steps(state: CopiesState, guards: Guards) -> Iterator[Step]:
    """Return the owner's steps with its entry."""
    if state.stage is Stage.NEW:
        yield "the owner appends an entry", state._replace(stage=Stage.APPENDED)
        return
    if state.is_durable and not state.knows_durable:
        yield "the owner learns that the entry is durable", state._replace(knows_durable=True)
    if state.stage is Stage.DISPATCHED or state.knows_durable:
        return
    if not state.used <= state.copies | state.held_by:
        yield f"the owner sends copies to {_names(state.used)}", state._replace(
            copies=state.copies | state.used
        )
    if _may_dispatch(state, guards):
        yield "the owner dispatches on outage tokens", state._replace(stage=Stage.DISPATCHED)


def _may_dispatch(state: CopiesState, guards: Guards) -> bool:
    """Return whether the owner may dispatch an entry that is not durable."""
    if state.held_by or Guard.COPY_BEFORE_DISPATCH not in guards:
        return True
    if state.used:
        return False
    if Guard.UNREGISTERED_WITHOUT_COPY in guards:
        return state.registrations == 0
    return state.known == NOBODY


def _is_flushed(state: CopiesState) -> bool:
    """Return whether the owner knows all its entries to be durable."""
    return state.stage is Stage.NEW or state.knows_durable


def _record_steps(state: CopiesState) -> Iterator[Step]:
    """Return the writes to the key-value service that take effect."""
    for chosen in state.writes:
        landed = state._replace(recorded=chosen, writes=frozenset())
        if state.awaited is None:
            yield f"a given-up registration of {_names(chosen)} takes effect", landed
        elif state.awaited == chosen:
            acknowledged = landed._replace(
                awaited=None, known=chosen, used=chosen, is_registered=True
            )
            yield f"the registration of {_names(chosen)} is acknowledged", acknowledged
            yield f"the registration of {_names(chosen)} takes effect, its answer is lost", (
                landed._replace(awaited=None)
            )
        else:
            conflicted = landed._replace(awaited=None, known=chosen)
            yield f"an earlier registration of {_names(chosen)} comes first", conflicted
    if state.stage is not Stage.NEW and not state.is_durable and state.closed < Closed.JOURNAL:
        yield "the entry becomes durable", state._replace(is_durable=True)


def _holder_steps(state: CopiesState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the messages to one holder, and its replacement."""
    peer = state.peers[index]
    name = _name(index)
    if not peer.is_replaced:
        yield f"{name} is replaced", _with_peer(state, index, Peer(is_replaced=True))
    if index in state.copies:
        yield f"the copy reaches {name}", _hold(state, index, guards)
    release = Release(index, ENTRY_POSITION + 1 if state.knows_durable else ENTRY_POSITION)
    if _is_flushed(state) and index in state.used and release not in state.releases:
        sent = state._replace(releases=state.releases | {release})
        yield f"the owner tells {name} what is durable", sent
    for message in state.releases:
        if message.holder == index:
            yield f"word of what is durable reaches {name}", _release(state, message, guards)


def _hold(state: CopiesState, index: int, guards: Guards) -> CopiesState:
    """Let a copy arrive at a holder's address."""
    peer = state.peers[index]
    arrived = state._replace(copies=state.copies - {index})
    is_refused = peer.is_replaced and Guard.HOLD_NAMES_HOLDER in guards
    if is_refused or peer.is_sealed:
        return arrived
    held = _with_peer(arrived, index, peer._replace(has_copy=True))
    return held._replace(held_by=held.held_by | {index})


def _release(state: CopiesState, message: Release, guards: Guards) -> CopiesState:
    """Let word of what is durable arrive at a holder."""
    arrived = state._replace(releases=state.releases - {message})
    is_durable = message.durable_before > ENTRY_POSITION
    if Guard.DURABLE_POSITION in guards and not is_durable:
        return arrived
    peer = state.peers[message.holder]
    return _with_peer(arrived, message.holder, peer._replace(has_copy=False))


def _recoverer_steps(state: CopiesState, guards: Guards) -> Iterator[Step]:
    """Return the steps of the router that closes the owner's incarnation."""
    if state.closed is Closed.NOTHING:
        closed = state._replace(closed=Closed.RECORD, writes=frozenset(), awaited=None)
        yield "the recoverer closes the incarnation record", closed
    if state.closed is Closed.RECORD:
        yield "the recoverer closes the journal", state._replace(closed=Closed.JOURNAL)
    if state.closed is not Closed.JOURNAL or state.is_freed:
        return
    for index in state.recorded - state.answered:
        yield from _collect(state, index, guards)
    missing = state.recorded - state.answered
    some_answered = state.answered and Guard.ALL_HOLDERS_ASKED not in guards
    if state.recorded and (not missing or some_answered):
        yield "the recoverer frees the outage tokens", state._replace(is_freed=True)


def _collect(state: CopiesState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the recoverer's question to one holder."""
    peer = state.peers[index]
    if peer.is_replaced and Guard.COLLECT_NAMES_HOLDER in guards:
        return
    asked = state._replace(
        answered=state.answered | {index}, is_collected=state.is_collected or peer.has_copy
    )
    if Guard.COLLECT_SEALS in guards:
        asked = _with_peer(asked, index, peer._replace(is_sealed=True))
    found = "its copy" if peer.has_copy else "that it has no copy"
    yield f"{_name(index)} tells the recoverer {found}", asked


def _with_peer(state: CopiesState, index: int, peer: Peer) -> CopiesState:
    """Return the state with one holder replaced."""
    peers = list(state.peers)
    peers[index] = peer
    return state._replace(peers=tuple(peers))


def _name(index: int) -> str:
    """Return the name of a holder."""
    return f"holder {index + 1}"


def _names(holders: Holders) -> str:
    """Return the names of holders."""
    return " and ".join(_name(index) for index in sorted(holders))


def _is_known_if_freed(state: CopiesState) -> bool:
    """Return whether freed outage tokens leave nothing dispatched that nobody knows of."""
    is_known = state.is_durable or state.is_collected
    return not state.is_freed or state.stage is not Stage.DISPATCHED or is_known


COPIES_MODEL = Model(
    name="copies at peers",
    initial=CopiesState(),
    steps=steps,
    invariants={"what ran on freed outage tokens is known": _is_known_if_freed},
    guards=(
        Guard.COPY_BEFORE_DISPATCH,
        Guard.UNREGISTERED_WITHOUT_COPY,
        Guard.REGISTRATION_REPEATED,
        Guard.CHANGED_WHILE_DURABLE,
        Guard.DURABLE_POSITION,
        Guard.HOLD_NAMES_HOLDER,
        Guard.COLLECT_NAMES_HOLDER,
        Guard.COLLECT_SEALS,
        Guard.ALL_HOLDERS_ASKED,
    ),
)
"""One owner, two holders and a recoverer."""

ONE_REGISTRATION_MODEL = replace(
    COPIES_MODEL,
    variant="one registration",
    initial=CopiesState(registrations=MAX_REGISTRATIONS - 1),
)
"""The same with a single registration, small enough for each test run."""
