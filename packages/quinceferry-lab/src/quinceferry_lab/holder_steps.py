"""Steps of the recovery model's holder, and of the new incarnation that it joins as when fenced."""

from collections.abc import Iterator

from quinceferry_lab.protocol_model import Guard, Step
from quinceferry_lab.recovery_state import (
    CLOSING_SLOT,
    EARLY_REQUEST,
    OUTAGE_TOKENS,
    REQUESTS,
    Arrival,
    Entry,
    Holder,
    Kind,
    RecoveryState,
    Request,
    Stage,
    bill,
    retire,
    text,
)

Guards = frozenset[Guard]


def holder_steps(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the steps of a holder that believes its lease."""
    yield from _draw(state, guards)
    yield from _journal_steps(state, guards)
    for index in REQUESTS:
        yield from _request_steps(state, index, guards)


def _draw(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the holder's draw of one more token, which it tries once."""
    if state.redrawn:
        return
    if state.closed and state.present and Guard.ALLOTMENT_CLOSED in guards:
        yield "the holder finds its allotment closed", _fence(state)
        return
    is_gone = state.ledger > 0 and not state.present
    if is_gone and Guard.ABSENT_ALLOTMENT_FENCES in guards:
        yield "the holder finds its allotment gone", _fence(state)
        return
    held = state.drawn if state.present else state.ledger
    if held + 1 - state.drawn <= state.free:
        yield "the holder draws a token", state._replace(
            redrawn=True,
            ledger=held + 1,
            drawn=held + 1,
            outage=OUTAGE_TOKENS,
            present=True,
            grown_after_close=state.closed,
        )


def _journal_steps(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the holder's steps with its journal."""
    if state.queue and not state.write_sent:
        yield f"the holder sends {text(state.queue[0])}", state._replace(write_sent=True)
    if len(state.journal) <= state.next_slot:
        return
    found = state.journal[state.next_slot]
    if found != CLOSING_SLOT:
        committed = state._replace(
            queue=state.queue[1:], next_slot=state.next_slot + 1, write_sent=False
        )
        yield f"the holder finds {text(found)} committed", committed
    elif Guard.CLOSING_SLOT in guards:
        yield "the holder meets the closing slot", _fence(state)
    else:
        skipped = state._replace(next_slot=state.next_slot + 1, write_sent=False)
        yield "the holder passes over the closing slot", skipped


def _request_steps(state: RecoveryState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the holder's steps with one request."""
    request = state.requests[index]
    name = f"request {index + 1}"
    match request.stage:
        case Stage.NEW if _available(state) > 0:
            begun = state.with_request(index, stage=Stage.BEGUN)
            yield f"the holder reserves for {name}", begun.queued(Entry(Kind.BEGIN, index))
        case Stage.BEGUN:
            sent = state.with_request(index, stage=Stage.SENT, arrival=Arrival.ON_THE_WAY)
            if not state.waits_for_commit(index):
                yield f"the holder dispatches {name}", sent
            elif Guard.BEGIN_BEFORE_DISPATCH not in guards:
                yield f"the holder dispatches {name} before its Begin is committed", sent
            elif index == EARLY_REQUEST and _unrecorded(state) < state.outage:
                early = sent.with_request(index, early=True)
                yield f"the holder dispatches {name} on its outage tokens", early
        case Stage.SENT if request.arrival in (Arrival.RUN, Arrival.REFUSED):
            used = int(request.arrival is Arrival.RUN)
            ended = state.with_request(index, stage=_end(request))
            yield f"the holder settles {name} ({used} used)", ended.queued(
                Entry(Kind.SETTLE, index, used)
            )


def successor_steps(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the steps of a fenced holder, which has joined again as a new incarnation."""
    for index in REQUESTS:
        request = state.requests[index]
        name = f"request {index + 1}"
        if request.stage is Stage.BEGUN:
            dropped = state.with_request(index, stage=Stage.NOT_RUN)
            yield f"the fenced holder drops {name}", dropped
        if request.stage is Stage.SENT and request.arrival in (Arrival.RUN, Arrival.REFUSED):
            ended = state.with_request(index, stage=_end(request))
            yield f"the fenced holder sees the end of {name}", ended
        is_billed = Entry(Kind.SETTLE, index, 1) in state.readable
        if request.stage is Stage.ANSWERED and not request.carried and not is_billed:
            carried = bill(state.with_request(index, carried=True), index, guards)
            yield f"the new incarnation bills {name}", carried
    if state.present and all(request.stage is not Stage.SENT for request in state.requests):
        spent = sum(request.stage is Stage.ANSWERED for request in state.requests)
        yield f"the fenced holder retires its allotment ({spent} spent)", retire(state, spent, 0)


def _available(state: RecoveryState) -> int:
    """Return the holder's tokens that are neither reserved nor spent."""
    engaged = (Stage.BEGUN, Stage.SENT, Stage.ANSWERED)
    return state.ledger - sum(request.stage in engaged for request in state.requests)


def _unrecorded(state: RecoveryState) -> int:
    """Return the tokens dispatched early whose Begin is not known to be committed."""
    return sum(state.requests[index].early and state.waits_for_commit(index) for index in REQUESTS)


def _end(request: Request) -> Stage:
    """Return the stage that follows the upstream's answer."""
    return Stage.ANSWERED if request.arrival is Arrival.RUN else Stage.NOT_RUN


def _fence(state: RecoveryState) -> RecoveryState:
    """Return the state after the holder has learned that it was closed."""
    queue = state.queue if state.write_sent else ()
    return state._replace(holder=Holder.FENCED, queue=queue)
