"""Model of one non-idempotent request: its home, another router, and a caller that retries.

The caller's attempts reach the home or the other router in any order and arbitrarily late. Any
process may pause before any step. Only the incarnation that the ticket names may run the request.
"""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from quinceferry_lab.protocol_model import Guard, Model, Step

MAX_RUNS = 2
"""Runs are counted up to the first that breaks the promise."""
ATTEMPTS = (0, 1)

Guards = frozenset[Guard]


class Process(Enum):
    """What the home's process has become."""

    HOME = "home"
    REJOINED = "same process, new incarnation"
    RESTARTED = "new process, new incarnation"


class Memory(Enum):
    """What the process at the home's address knows of the request."""

    NONE = "none"
    ACCEPTED = "accepted"
    SENT = "sent"
    DONE = "done"
    REFUSED = "refused"


class Attempt(Enum):
    """Where an attempt of the caller is."""

    NOT_MADE = "not made"
    TO_HOME = "on the way to the home"
    TO_OTHER = "on the way to the other router"
    HANDLED = "handled"


class ExecutionState(NamedTuple):
    """State of the request.

    ``has_begin`` and ``is_closed`` are the home's journal; ``knows_begin`` says that the home knows
    its Begin to be committed. ``on_the_way`` counts dispatches that the upstream has yet to see.
    """

    journaled: bool
    process: Process = Process.HOME
    memory: Memory = Memory.NONE
    write_sent: bool = False
    knows_begin: bool = False
    has_begin: bool = False
    is_closed: bool = False
    is_expired: bool = False
    attempts: tuple[Attempt, Attempt] = (Attempt.NOT_MADE, Attempt.NOT_MADE)
    on_the_way: int = 0
    runs: int = 0
    told_not_run: bool = False


def steps(state: ExecutionState, guards: Guards) -> Iterator[Step]:
    """Return all steps possible in a state."""
    if state.runs >= MAX_RUNS:
        return
    yield from _surroundings(state)
    yield from _journal_steps(state, guards)
    yield from _dispatch_steps(state, guards)
    for index in ATTEMPTS:
        yield from _attempt_steps(state, index, guards)


def _surroundings(state: ExecutionState) -> Iterator[Step]:
    """Return faults, the passing of time and the upstream's steps."""
    if state.process is not Process.RESTARTED:
        restarted = state._replace(process=Process.RESTARTED, memory=Memory.NONE, knows_begin=False)
        yield "the home crashes and a new process takes its address", restarted
    if not state.is_closed:
        closed = state._replace(is_closed=True)
        yield "the lease lapses; another router closes the home's journal", closed
    if not state.is_expired:
        yield "the ticket expires", state._replace(is_expired=True)
    elif state.memory in (Memory.DONE, Memory.REFUSED):
        yield "the home forgets the request", state._replace(memory=Memory.NONE)
    if state.on_the_way:
        run = state._replace(on_the_way=state.on_the_way - 1, runs=state.runs + 1)
        yield "the upstream runs the request", run


def _journal_steps(state: ExecutionState, guards: Guards) -> Iterator[Step]:
    """Return the home's steps with its journal."""
    if state.write_sent and not state.is_closed and not state.has_begin:
        yield "the write of Begin takes effect", state._replace(has_begin=True)
    if state.process is not Process.HOME:
        return
    if state.memory is Memory.ACCEPTED and not state.write_sent:
        yield "the home sends Begin", state._replace(write_sent=True)
    if state.has_begin and state.write_sent and not state.knows_begin:
        yield "the home finds Begin committed", state._replace(knows_begin=True)
    if not state.is_closed:
        return
    if Guard.CLOSING_SLOT in guards:
        rejoined = state._replace(process=Process.REJOINED)
        yield "the home meets the closing slot and joins anew", rejoined
    elif state.write_sent and not state.knows_begin:
        passed = state._replace(knows_begin=True)
        yield "the home passes over the closing slot and writes Begin after it", passed


def _dispatch_steps(state: ExecutionState, guards: Guards) -> Iterator[Step]:
    """Return what becomes of a request that the home has accepted."""
    if state.memory is Memory.ACCEPTED:
        yield "the home drops the request and tells not run", _refuse(state, guards)
    may_send = state.knows_begin or not state.journaled or Guard.BEGIN_BEFORE_DISPATCH not in guards
    if state.memory is Memory.ACCEPTED and state.process is Process.HOME and may_send:
        yield "the home dispatches the request", _dispatch(state)
    if state.memory is Memory.SENT and state.runs:
        yield "the home sees the request's end", state._replace(memory=Memory.DONE)


def _attempt_steps(state: ExecutionState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the steps of one attempt of the caller."""
    name = f"attempt {index + 1}"
    match state.attempts[index]:
        case Attempt.NOT_MADE:
            to_home = _move(state, index, Attempt.TO_HOME)
            yield f"the caller sends {name} to the home", to_home
            to_other = _move(state, index, Attempt.TO_OTHER)
            yield f"the caller sends {name} to the other router", to_other
        case Attempt.TO_HOME if state.process is Process.HOME:
            yield from _home_answers(_move(state, index, Attempt.HANDLED), name, guards)
        case Attempt.TO_HOME:
            handled = _move(state, index, Attempt.HANDLED)
            yield from _new_incarnation_answers(handled, name, guards)
        case Attempt.TO_OTHER:
            yield f"the other router forwards {name}", _move(state, index, Attempt.TO_HOME)
            handled = _move(state, index, Attempt.HANDLED)
            yield from _journal_answers(handled, f"the other router on {name}", guards)


def _home_answers(state: ExecutionState, name: str, guards: Guards) -> Iterator[Step]:
    """Return the home's ways to handle an attempt."""
    if state.memory is Memory.REFUSED:
        yield f"the home tells again that {name} was not run", state._replace(told_not_run=True)
        return
    if state.memory is not Memory.NONE and Guard.HOME_MEMORY in guards:
        yield f"the home lets {name} join the run it knows", state
        return
    if state.is_expired and Guard.TICKET_EXPIRY in guards:
        yield f"the home tells that the outcome of {name} is unknown", state
        return
    accepted = state._replace(memory=Memory.ACCEPTED)
    yield f"the home accepts {name}", accepted
    yield f"the home refuses {name} and tells not run", _refuse(state, guards)


def _new_incarnation_answers(state: ExecutionState, name: str, guards: Guards) -> Iterator[Step]:
    """Return how a later incarnation at the home's address handles an attempt."""
    if state.memory is not Memory.NONE:
        yield f"the new incarnation answers {name} from memory", state
        return
    if Guard.HOME_CHECK not in guards:
        yield f"the new incarnation dispatches {name} itself", _dispatch(state)
    yield from _journal_answers(state, f"the new incarnation on {name}", guards)


def _journal_answers(state: ExecutionState, who: str, guards: Guards) -> Iterator[Step]:
    """Return the answer of a router that is not the home, judged by the home's journal."""
    is_final = state.is_closed or Guard.CLOSED_BEFORE_NOT_RUN not in guards
    is_complete = state.journaled or Guard.JOURNALED_FLAG not in guards
    if is_final and is_complete and not state.has_begin:
        yield f"{who} tells not run", state._replace(told_not_run=True)
    else:
        yield f"{who} tells that the outcome is unknown", state


def _refuse(state: ExecutionState, guards: Guards) -> ExecutionState:
    """Tell the caller that the request was not run."""
    memory = Memory.REFUSED if Guard.REFUSAL_KEPT in guards else Memory.NONE
    return state._replace(memory=memory, told_not_run=True)


def _dispatch(state: ExecutionState) -> ExecutionState:
    """Send the request to the upstream."""
    return state._replace(memory=Memory.SENT, on_the_way=state.on_the_way + 1)


def _move(state: ExecutionState, index: int, attempt: Attempt) -> ExecutionState:
    """Return the state with one attempt moved on."""
    attempts = list(state.attempts)
    attempts[index] = attempt
    return state._replace(attempts=tuple(attempts))


_INVARIANTS = {
    "a non-idempotent request runs at most once": lambda state: state.runs <= 1,
    "what was told as not run never runs": lambda state: not (state.told_not_run and state.runs),
}

_GUARDS = (
    Guard.HOME_CHECK,
    Guard.HOME_MEMORY,
    Guard.REFUSAL_KEPT,
    Guard.TICKET_EXPIRY,
)

EXECUTION_MODELS = (
    Model(
        name="non-idempotent request",
        variant="home journals",
        initial=ExecutionState(journaled=True),
        steps=steps,
        invariants=_INVARIANTS,
        guards=(
            *_GUARDS,
            Guard.BEGIN_BEFORE_DISPATCH,
            Guard.CLOSING_SLOT,
            Guard.CLOSED_BEFORE_NOT_RUN,
        ),
    ),
    Model(
        name="non-idempotent request",
        variant="home does not journal",
        initial=ExecutionState(journaled=False),
        steps=steps,
        invariants=_INVARIANTS,
        guards=(*_GUARDS, Guard.JOURNALED_FLAG),
    ),
)
"""One model for each kind of ticket."""
