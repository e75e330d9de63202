"""Model of journals and recovery: a holder that may pause or crash, and a router that closes it.

A pause needs no step of its own: any process may take its next step arbitrarily late, also after
its lease has lapsed and its incarnation was closed. The other router draws and runs each free token
at once, so a token that is both free and usable by the holder shows up as overspent. Writes to the
budget record take effect at once here; the budget model covers their lost answers.
"""

from collections.abc import Iterator
from dataclasses import replace

from quinceferry_lab.holder_steps import holder_steps, successor_steps
from quinceferry_lab.protocol_model import Guard, Model, Step
from quinceferry_lab.recovery_state import (
    CLOSING_SLOT,
    GRANTED_TOKENS,
    REQUESTS,
    Arrival,
    Entry,
    Holder,
    Kind,
    Recovery,
    RecoveryState,
    Request,
    Stage,
    bill,
    retire,
    text,
)

Guards = frozenset[Guard]


def steps(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return all steps possible in a state."""
    if state.ended:
        return
    progress = list(_progress(state, guards))
    yield from progress
    yield from _faults(state)
    if not progress:
        yield "nothing is left to do", state._replace(ended=True)


def _faults(state: RecoveryState) -> Iterator[Step]:
    """Return the steps that need not happen."""
    forgotten = tuple(
        request._replace(recovered=-1) if _waits_for_bill(request) else request
        for request in state.requests
    )
    if forgotten != state.requests:
        yield "the recoverer crashes and another goes on", state._replace(requests=forgotten)
    if state.holder is not Holder.CRASHED:
        queue = state.queue if state.write_sent else ()
        yield "the holder crashes", state._replace(holder=Holder.CRASHED, queue=queue)
        if state.recovery is Recovery.NONE:
            yield "the lease lapses; its incarnation is closed", _close_incarnation(state)


def _progress(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the steps that go on until nothing is left to do."""
    if state.holder is Holder.ALIVE:
        yield from holder_steps(state, guards)
    if state.holder is Holder.FENCED:
        yield from successor_steps(state, guards)
    if state.write_sent and len(state.journal) == state.next_slot:
        yield f"the write of {text(state.queue[0])} takes effect", _append(state)
    for index in REQUESTS:
        yield from _upstream_steps(state, index)
        yield from _inquiry(state, index, guards)
        if _waits_for_bill(state.requests[index]):
            billed = bill(state.with_request(index, recovered_bill=True), index, guards)
            yield f"the recoverer's bill for request {index + 1} is committed", billed
    yield from _recovery_steps(state, guards)
    if state.free > 0:
        yield "the other router draws and runs a token", state._replace(
            other_run=state.other_run + 1
        )


def _upstream_steps(state: RecoveryState, index: int) -> Iterator[Step]:
    """Return the arrival of one request at the upstream."""
    if state.requests[index].arrival is not Arrival.ON_THE_WAY:
        return
    name = f"request {index + 1}"
    if state.checks_fencing and state.fencing_shown:
        yield f"the upstream refuses {name}", state.with_request(index, arrival=Arrival.REFUSED)
    else:
        yield f"the upstream runs {name}", state.with_request(index, arrival=Arrival.RUN)


def _recovery_steps(state: RecoveryState, guards: Guards) -> Iterator[Step]:
    """Return the steps of the router that closes the holder's incarnation."""
    match state.recovery:
        case Recovery.NONE if state.holder is Holder.CRASHED:
            yield "the lease lapses; its incarnation is closed", _close_incarnation(state)
        case Recovery.INCARNATION_CLOSED if Guard.CLOSE_BEFORE_RECLAIM in guards:
            closed = state._replace(
                journal=(*state.journal, CLOSING_SLOT), recovery=Recovery.JOURNAL_CLOSED
            )
            yield "the recoverer closes the journal", closed
        case Recovery.INCARNATION_CLOSED | Recovery.JOURNAL_CLOSED:
            kept = _kept(state, guards)
            closed = state._replace(
                recovery=Recovery.ALLOTMENT_CLOSED,
                drawn=min(state.drawn, kept),
                closed=state.present,
            )
            yield f"the recoverer closes the allotment ({kept} kept)", closed
        case Recovery.ALLOTMENT_CLOSED if _all_recovered(state, guards):
            spent = state.spent_in_journal + _recovered_use(state)
            withheld = state.outage if Guard.OUTAGE_TOKENS_KEPT in guards else 0
            retired = retire(state, spent, withheld)._replace(recovery=Recovery.RETIRED)
            yield f"the recoverer retires the allotment ({spent} spent)", retired
        case Recovery.RETIRED if state.present and Guard.RECOVERY_REPEATED in guards:
            again = state._replace(recovery=Recovery.JOURNAL_CLOSED)
            yield "the recoverer finds an allotment of the closed incarnation", again


def _inquiry(state: RecoveryState, index: int, guards: Guards) -> Iterator[Step]:
    """Return the recoverer's question to the upstream about one unsettled request."""
    request = state.requests[index]
    is_asked = Recovery.JOURNAL_CLOSED <= state.recovery < Recovery.RETIRED
    if not is_asked or request.recovered >= 0 or index not in state.unsettled:
        return
    name = f"request {index + 1}"
    if request.arrival is Arrival.RUN:
        known = state.with_request(index, recovered=1)
        yield f"the upstream tells the recoverer that it ran {name}", known
    elif _is_proven_not_run(state, request, guards):
        unused = state.with_request(index, recovered=0)
        yield f"the upstream does not know {name}", unused._replace(fencing_shown=True)


def _is_proven_not_run(state: RecoveryState, request: Request, guards: Guards) -> bool:
    """Return whether a request unknown to the upstream can be settled as not run."""
    if Guard.UNKNOWN_NEEDS_PROOF not in guards or request.arrival is Arrival.REFUSED:
        return True
    if state.checks_fencing:
        return True
    may_arrive = request.arrival is Arrival.ON_THE_WAY and Guard.NETWORK_DRAINED in guards
    return state.holder is Holder.CRASHED and not may_arrive


def _kept(state: RecoveryState, guards: Guards) -> int:
    """Return the tokens that a closed allotment keeps."""
    outage = state.outage if Guard.OUTAGE_TOKENS_KEPT in guards else 0
    return state.spent_in_journal + len(state.unsettled) + outage


def _all_recovered(state: RecoveryState, guards: Guards) -> bool:
    """Return whether the recoverer knows what became of each unsettled request."""
    requests = [state.requests[index] for index in state.unsettled]
    if Guard.RECOVERED_BILL_DURABLE in guards and any(map(_waits_for_bill, requests)):
        return False
    return all(request.recovered >= 0 for request in requests)


def _waits_for_bill(request: Request) -> bool:
    """Return whether only the recoverer's memory holds the request's bill."""
    return request.recovered > 0 and not request.recovered_bill


def _recovered_use(state: RecoveryState) -> int:
    """Return the tokens that upstreams reported for unsettled requests."""
    return sum(max(0, state.requests[index].recovered) for index in state.unsettled)


def _close_incarnation(state: RecoveryState) -> RecoveryState:
    """Return the state after the incarnation record was closed."""
    return state._replace(recovery=Recovery.INCARNATION_CLOSED)


def _append(state: RecoveryState) -> RecoveryState:
    """Let the holder's write create its slot; a committed settlement is a bill."""
    entry = state.queue[0]
    appended = state._replace(journal=(*state.journal, entry))
    if entry.kind is Kind.SETTLE and entry.used:
        return appended.with_request(entry.request, bills=1)
    return appended


def _is_billed_in_the_end(state: RecoveryState) -> bool:
    """Return whether each answered request is billed, unless it died unrecorded in an outage."""
    if not state.ended:
        return True
    for index, request in enumerate(state.requests):
        recorded = Entry(Kind.BEGIN, index) in state.readable
        exempt = state.holder is Holder.CRASHED and request.early and not recorded
        if request.stage is Stage.ANSWERED and request.bills == 0 and not exempt:
            return False
    return True


_INVARIANTS = {
    "tokens run stay within the grant": lambda state: state.tokens_run <= GRANTED_TOKENS,
    "the record stays within the grant": lambda state: state.free >= 0,
    "one bill for a request": lambda state: all(r.bills <= 1 for r in state.requests),
    "only a request that ran is billed": lambda state: all(
        r.arrival is Arrival.RUN for r in state.requests if r.bills
    ),
    "a closed allotment never grows": lambda state: not state.grown_after_close,
    "answered requests are billed in the end": _is_billed_in_the_end,
    "no tokens stay with a closed incarnation": lambda state: (
        not state.ended or state.recovery is Recovery.NONE or state.drawn == 0
    ),
}

_GUARDS = (
    Guard.CLOSE_BEFORE_RECLAIM,
    Guard.BEGIN_BEFORE_DISPATCH,
    Guard.CLOSING_SLOT,
    Guard.OUTAGE_TOKENS_KEPT,
    Guard.ALLOTMENT_CLOSED,
    Guard.ABSENT_ALLOTMENT_FENCES,
    Guard.BILL_KEY,
    Guard.RECOVERED_BILL_DURABLE,
)

RECOVERY_MODELS = (
    Model(
        name="journal and recovery",
        variant="upstream checks fencing numbers",
        initial=RecoveryState(checks_fencing=True),
        steps=steps,
        invariants=_INVARIANTS,
        guards=_GUARDS,
    ),
    Model(
        name="journal and recovery",
        variant="upstream ignores fencing numbers",
        initial=RecoveryState(checks_fencing=False),
        steps=steps,
        invariants=_INVARIANTS,
        guards=(*_GUARDS, Guard.UNKNOWN_NEEDS_PROOF, Guard.NETWORK_DRAINED),
    ),
    Model(
        name="journal and recovery",
        variant="holder without an allotment at first",
        initial=RecoveryState(checks_fencing=False, ledger=0, drawn=0, outage=0, present=False),
        steps=steps,
        invariants=_INVARIANTS,
        guards=(Guard.RECOVERY_REPEATED,),
    ),
)
"""One model for each kind of upstream, and one for a holder that draws late."""

ONE_REQUEST_MODELS = tuple(
    replace(
        model,
        variant=f"{model.variant}, one request",
        initial=model.initial._replace(requests=(Request(stage=Stage.NOT_RUN), Request())),
    )
    for model in RECOVERY_MODELS
)
"""The same with the idempotent request alone, small enough for each test run."""
