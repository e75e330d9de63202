"""Model of the budget record: draws, returns and a repeated top-up, with lost answers.

Two routers draw, return and run single tokens, and two calls of an operator carry the same top-up.
Every write is a compare-and-swap that may take effect at any time after it was sent, also when its
answer was given up, but only while the record has not changed since it was read.
"""

from collections.abc import Iterator
from dataclasses import replace
from enum import Enum
from typing import NamedTuple, TypeVar

from quinceferry_lab.protocol_model import Guard, Model, Step

T = TypeVar("T")

GRANTED_TOKENS = 1
TOP_UP_TOKENS = 1
MAX_OPERATIONS = 3
"""Writes that each router may send."""

_ROUTER_NAMES = ("router 1", "router 2")
_CALL_NAMES = ("top-up call 1", "top-up call 2")


class Answer(Enum):
    """What a router waits for."""

    NONE = "none"
    PENDING = "pending"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Mark(Enum):
    """State of the top-up's own record."""

    ABSENT = "absent"
    CREATED = "created"
    APPLIED = "applied"


class Call(Enum):
    """Where a top-up call stands."""

    START = "start"
    READ = "read"
    CHECK = "check"
    SEND = "send"
    WAIT = "wait"
    MARK = "mark"
    DONE = "done"


class Router(NamedTuple):
    """A router's own state."""

    ledger: int = 0
    run: int = 0
    sequence: int = 0
    answer: Answer = Answer.NONE


class Held(NamedTuple):
    """A router's allotment in the record."""

    drawn: int = 0
    sequence: int = 0


class Write(NamedTuple):
    """A write under way; it still fits the record's version."""

    writer: int
    held: Held


class TopUpWrite(NamedTuple):
    """A top-up under way; it still fits the record's version."""

    call: int


class BudgetState(NamedTuple):
    """State of the record, of all writes under way and of those who send them.

    ``fresh`` tells for each call whether the record is as the call has read it.
    """

    granted: int = GRANTED_TOKENS
    held: tuple[Held, Held] = (Held(), Held())
    top_up_pending: bool = False
    mark: Mark = Mark.ABSENT
    routers: tuple[Router, Router] = (Router(), Router())
    calls: tuple[Call, Call] = (Call.START, Call.START)
    fresh: tuple[bool, bool] = (False, False)
    writes: frozenset[Write | TopUpWrite] = frozenset()

    @property
    def free(self) -> int:
        """Return the tokens in no allotment."""
        return self.granted - sum(held.drawn for held in self.held)


def steps(state: BudgetState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Return all steps possible in a state."""
    for index in range(2):
        yield from _router_steps(state, index, guards)
        yield from _call_steps(state, index, guards)
    for write in state.writes:
        yield _take_effect(state, write)
    if state.top_up_pending and state.mark is Mark.APPLIED:
        yield "the record forgets the marked top-up", _changed(state, top_up_pending=False)


def _router_steps(state: BudgetState, index: int, guards: frozenset[Guard]) -> Iterator[Step]:
    """Return the steps of one router."""
    router = state.routers[index]
    name = _ROUTER_NAMES[index]
    if router.ledger > router.run:
        yield f"{name} runs a token", _with_router(
            state, index, router._replace(run=router.run + 1)
        )
    match router.answer:
        case Answer.NONE:
            yield from _operations(state, index, guards)
        case Answer.ACCEPTED:
            ledger = state.held[index].drawn
            done = router._replace(ledger=ledger, answer=Answer.NONE)
            yield f"{name} learns that its write took effect", _with_router(state, index, done)
        case Answer.REJECTED:
            done = router._replace(answer=Answer.NONE)
            yield f"{name} learns that its write failed", _with_router(state, index, done)
    if router.answer is not Answer.NONE:
        lost = router._replace(answer=Answer.NONE)
        yield f"{name} gives up waiting for its answer", _with_router(state, index, lost)


def _operations(state: BudgetState, index: int, guards: frozenset[Guard]) -> Iterator[Step]:
    """Return the reads of one router, each with the write that follows it."""
    router = _after_read(state, index, guards)
    name = _ROUTER_NAMES[index]
    if router != state.routers[index]:
        yield f"{name} reads the record", _with_router(state, index, router)
    if router.sequence >= MAX_OPERATIONS:
        return
    if router.ledger + 1 - state.held[index].drawn <= state.free:
        yield f"{name} reads and sends a draw", _send(state, index, router, router.ledger + 1)
    if router.ledger > router.run:
        kept = router.ledger - 1
        if Guard.DEBIT_BEFORE_SEND in guards:
            router = router._replace(ledger=kept)
        yield f"{name} reads and sends a return", _send(state, index, router, kept)


def _after_read(state: BudgetState, index: int, guards: frozenset[Guard]) -> Router:
    """Return a router that has taken over its allotment from the record."""
    router, held = state.routers[index], state.held[index]
    if Guard.OPERATION_SEQUENCE in guards and held.sequence != router.sequence:
        return router
    return router._replace(ledger=held.drawn)


def _send(state: BudgetState, index: int, router: Router, drawn: int) -> BudgetState:
    """Return the state after a router has sent its next write."""
    sequence = router.sequence + 1
    sender = router._replace(sequence=sequence, answer=Answer.PENDING)
    write = Write(index, Held(drawn, sequence))
    return _with_router(state, index, sender)._replace(writes=state.writes | {write})


def _take_effect(state: BudgetState, write: Write | TopUpWrite) -> Step:
    """Let a write change the record; every other write under way is then outdated."""
    match write:
        case Write(writer, held):
            changed = _changed(state, held=_put(state.held, writer, held))
            router = changed.routers[writer]
            if state.routers[writer].answer is Answer.PENDING and router.sequence == held.sequence:
                router = router._replace(answer=Answer.ACCEPTED)
            label = f"the write of {_ROUTER_NAMES[writer]} takes effect ({held.drawn} drawn)"
            return label, _with_router(changed, writer, router)
        case TopUpWrite(call):
            granted = state.granted + TOP_UP_TOKENS
            changed = _changed(state, granted=granted, top_up_pending=True)
            phase = Call.MARK if state.calls[call] is Call.WAIT else state.calls[call]
            return f"the write of {_CALL_NAMES[call]} takes effect", _with_call(
                changed, call, phase
            )


def _changed(state: BudgetState, **fields: object) -> BudgetState:
    """Return the state with a new version of the record."""
    routers = tuple(
        router._replace(answer=Answer.REJECTED) if router.answer is Answer.PENDING else router
        for router in state.routers
    )
    return state._replace(routers=routers, writes=frozenset(), fresh=(False, False), **fields)


def _call_steps(state: BudgetState, index: int, guards: frozenset[Guard]) -> Iterator[Step]:
    """Return the steps of one top-up call; a call that fails is repeated from its first read."""
    name = _CALL_NAMES[index]
    match state.calls[index]:
        case Call.START:
            yield f"{name} creates or finds its own record", _started(state, index, guards)
        case Call.READ:
            yield f"{name} reads the budget record", _read_by_call(state, index, guards)
        case Call.CHECK:
            yield f"{name} reads the mark", _checked(state, index, guards)
        case Call.SEND if state.fresh[index]:
            sent = state._replace(writes=state.writes | {TopUpWrite(index)})
            yield f"{name} sends its write", _with_call(sent, index, Call.WAIT)
        case Call.SEND:
            yield f"{name} is outdated", _with_call(state, index, Call.READ)
        case Call.WAIT:
            yield f"{name} gives up waiting and reads again", _with_call(state, index, Call.READ)
        case Call.MARK:
            marked = state._replace(mark=Mark.APPLIED)
            yield f"{name} marks its own record", _with_call(marked, index, Call.DONE)


def _started(state: BudgetState, index: int, guards: frozenset[Guard]) -> BudgetState:
    """Return the state after a call has created its own record or found it."""
    if state.mark is Mark.APPLIED and Guard.TOP_UP_ID in guards:
        return _with_call(state, index, Call.DONE)
    mark = Mark.CREATED if state.mark is Mark.ABSENT else state.mark
    return _with_call(state._replace(mark=mark), index, Call.READ)


def _read_by_call(state: BudgetState, index: int, guards: frozenset[Guard]) -> BudgetState:
    """Return the state after a call has read the budget record."""
    if state.top_up_pending and Guard.TOP_UP_ID in guards:
        return _with_call(state, index, Call.MARK)
    read = state._replace(fresh=_put(state.fresh, index, True))
    # A call that trusts the mark as it found it at its start never looks at it again.
    following = Call.CHECK if Guard.TOP_UP_MARK_READ_LAST in guards else Call.SEND
    return _with_call(read, index, following)


def _checked(state: BudgetState, index: int, guards: frozenset[Guard]) -> BudgetState:
    """Return the state after a call has read the mark of its own record."""
    if state.mark is Mark.APPLIED and Guard.TOP_UP_ID in guards:
        return _with_call(state, index, Call.DONE)
    return _with_call(state, index, Call.SEND)


def _with_router(state: BudgetState, index: int, router: Router) -> BudgetState:
    """Return the state with one router replaced."""
    return state._replace(routers=_put(state.routers, index, router))


def _with_call(state: BudgetState, index: int, call: Call) -> BudgetState:
    """Return the state with one top-up call moved on."""
    return state._replace(calls=_put(state.calls, index, call))


def _put(items: tuple[T, T], index: int, item: T) -> tuple[T, T]:
    """Return a pair with one item replaced."""
    return (item, items[1]) if index == 0 else (items[0], item)


def _entitled(state: BudgetState) -> int:
    """Return the tokens that the operator has paid for."""
    return GRANTED_TOKENS + (TOP_UP_TOKENS if state.mark is not Mark.ABSENT else 0)


BUDGET_MODEL = Model(
    name="budget record",
    initial=BudgetState(),
    steps=steps,
    invariants={
        "tokens run stay within the grant": lambda state: sum(
            router.run for router in state.routers
        )
        <= state.granted,
        "allotments stay within the grant": lambda state: state.free >= 0,
        "a top-up is granted once": lambda state: state.granted <= _entitled(state),
    },
    guards=(
        Guard.OPERATION_SEQUENCE,
        Guard.DEBIT_BEFORE_SEND,
        Guard.TOP_UP_ID,
        Guard.TOP_UP_MARK_READ_LAST,
    ),
)
"""Two routers and a top-up sent twice."""

TRANSFER_MODEL = replace(
    BUDGET_MODEL, variant="without top-up", initial=BudgetState(calls=(Call.DONE, Call.DONE))
)
"""The same without the top-up calls, small enough for each test run."""

_IDLE = Router(sequence=MAX_OPERATIONS)
TOP_UP_MODEL = replace(
    BUDGET_MODEL, variant="top-up alone", initial=BudgetState(routers=(_IDLE, _IDLE))
)
"""The same without the routers' writes, small enough for each test run."""
