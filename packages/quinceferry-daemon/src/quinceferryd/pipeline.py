"""Routing of a caller's request within one router: replay, forward or run."""

from contextlib import aclosing

from quinceferry_core.adapters import PeerClient
from quinceferry_core.clocks import Clock
from quinceferry_core.demand import DemandMeter
from quinceferry_core.exceptions import PeerUnavailableError
from quinceferry_core.journals import RequestKey
from quinceferry_core.models import CallerRequest, RequestId, RequestKind, Ticket, WorkspaceId
from quinceferry_core.outcomes import (
    AnswerEvent,
    AnswerStream,
    Chunk,
    Failed,
    NotRun,
    Outcome,
    RefusalReason,
    Run,
    Unknown,
)
from quinceferryd.accounts import AccountController
from quinceferryd.blackboard import Blackboard, RouterState
from quinceferryd.controllers import TaskGroupController
from quinceferryd.crashes import CrashWatch
from quinceferryd.execution import Executor
from quinceferryd.fingerprints import fingerprint
from quinceferryd.forwards import CIRCULAR_FORWARD, STOPPING_RELAY, forward
from quinceferryd.proofs import JournalProofs
from quinceferryd.recording import NEVER_SENT, router_not_ready_refusal
from quinceferryd.refusals import HOME_ROUTER_RETRY_SECONDS, home_router_failure
from quinceferryd.runs import RequestRun, RunStore

_ACCEPTING_STATES = (RouterState.SERVING, RouterState.STOPPING)


class Pipeline(TaskGroupController):
    """Replays repeated requests, forwards those of another home router, and runs all others."""

    def __init__(
        self,
        blackboard: Blackboard,
        accounts: AccountController,
        executor: Executor,
        proofs: JournalProofs,
        peers: PeerClient,
        clock: Clock,
        demand_meter: DemandMeter | None = None,
        crash_watch: CrashWatch | None = None,
    ) -> None:
        super().__init__()
        self._crash_watch = crash_watch
        self._demand_meter = demand_meter
        self.runs = RunStore(clock)
        self._open_readers = 0
        self._blackboard = blackboard
        self._accounts = accounts
        self._executor = executor
        self._proofs = proofs
        self._peers = peers
        self._clock = clock

    @property
    def open_requests(self) -> int:
        """Return the number of requests in progress, with or without a reader."""
        return max(self._open_readers, len(self._tasks))

    async def submit(self, request: CallerRequest) -> AnswerStream:
        """Yield the events of a request's answer, ending with ``Finished`` or ``Failed``.

        Closing the iterator early means that the caller has disconnected.
        """
        self._open_readers += 1
        try:
            async with aclosing(self._route(request)) as events:
                async for event in events:
                    yield event
        finally:
            self._open_readers -= 1

    async def outcome(self, workspace: WorkspaceId, request_id: RequestId) -> Outcome | None:
        """Return the outcome of a request at this router, or None if it is not stored."""
        return self.runs.outcome(RequestKey(workspace, request_id))

    def _route(self, request: CallerRequest) -> AnswerStream:
        """Choose how to answer a request: replay, refuse, run or forward it."""
        key = RequestKey(request.workspace, request.request_id)
        existing = self.runs.find(key)
        if existing is not None and request.forwarded and existing.was_forwarded:
            return _single_event(CIRCULAR_FORWARD)
        if existing is not None and self._can_replay(existing, request):
            return self._replay_existing(existing, request)
        refusal = self._ticket_refusal(request) or self._quarantine_refusal(request)
        if refusal is not None:
            return _single_event(refusal)
        ticket = request.ticket
        if ticket is None or ticket.home == self._blackboard.identity.incarnation:
            return self._run(key, request)
        if request.forwarded:
            return self._answer_forwarded(key, request, ticket)
        if not self._blackboard.serves_until(self._clock.monotonic() + request.deadline_seconds):
            return _single_event(STOPPING_RELAY)
        if request.idempotent:
            return self._join_or_run(key, request, ticket)
        return self._forward_home(request, ticket)

    def _can_replay(self, existing: RequestRun, request: CallerRequest) -> bool:
        """Return whether a repeated request is answered from an existing run.

        An idempotent request that was interrupted or whose answer was dropped is run again; its
        bill replaces the earlier one. A refused non-idempotent request may run with a later ticket,
        which proves that its caller has received the refusal.
        """
        if existing.outcome is None:
            return True
        if request.idempotent:
            return isinstance(existing.outcome, Run) and not existing.answer_dropped
        return not (isinstance(existing.outcome, NotRun) and _has_later_ticket(existing, request))

    def _replay_existing(self, existing: RequestRun, request: CallerRequest) -> AnswerStream:
        """Answer a repeated request from an existing run."""
        if existing.fingerprint != fingerprint(request):
            detail = "the request id was used for another request"
            return _single_event(Failed(RefusalReason.REQUEST_ID_REUSED, NEVER_SENT, detail=detail))
        if existing.answer_dropped and existing.outcome is not None:
            detail = "the answer is no longer stored"
            return _single_event(
                Failed(RefusalReason.REQUEST_ID_REUSED, existing.outcome, 0.0, detail, "replay")
            )
        return self._read_events(existing)

    def _ticket_refusal(self, request: CallerRequest) -> Failed | None:
        """Return the refusal of a request without the ticket it needs, or with an invalid one."""
        ticket = request.ticket
        if ticket is None:
            if request.idempotent:
                return None
            detail = "a non-idempotent request needs the ticket of an address answer"
            return Failed(RefusalReason.TICKET_REQUIRED, NEVER_SENT, detail=detail)
        if ticket.workspace != request.workspace:
            detail = "the ticket was issued to another workspace"
            return Failed(RefusalReason.TICKET_INVALID, NEVER_SENT, detail=detail)
        if not request.idempotent and ticket.expires_at < self._clock.now():
            detail = "the ticket has expired, and so has the memory of its requests"
            return Failed(RefusalReason.TICKET_INVALID, Unknown(), detail=detail)
        return None

    def _quarantine_refusal(self, request: CallerRequest) -> Failed | None:
        """Return the refusal of quarantined content, before tokens are reserved for it."""
        return None if self._crash_watch is None else self._crash_watch.refusal(request)

    async def _run(self, key: RequestKey, request: CallerRequest) -> AnswerStream:
        """Run a request on this router and yield its answer."""
        if self._blackboard.state not in _ACCEPTING_STATES or self._accounts.current is None:
            yield router_not_ready_refusal("submit")
            return
        if self._demand_meter is not None and request.kind is not RequestKind.SERVICE:
            self._demand_meter.record_request(request.target)
        expires_at = request.ticket.expires_at if request.ticket else None
        run = self.runs.begin(key, fingerprint(request), request.idempotent, expires_at)
        run.task = self.spawn(self._execute(run, request), f"request {key.request}")
        async with aclosing(self._read_events(run)) as events:
            async for event in events:
                yield event

    async def _execute(self, run: RequestRun, request: CallerRequest) -> None:
        """Run a request to its end and store the finished run."""
        try:
            await self._executor.execute(run, request)
        finally:
            if run.outcome is None:
                run.publish(self._interrupted_failure())
            self.runs.finish(run)

    def _interrupted_failure(self) -> Failed:
        """Return the failure of a request that ended without a final event."""
        if self._blackboard.state is RouterState.LEFT:
            detail = "the request was open when its router's stop reached its bound"
            return Failed(
                RefusalReason.ROUTER_STOPPING, Unknown(), HOME_ROUTER_RETRY_SECONDS, detail, "stop"
            )
        detail = "the request was ended"
        return Failed(RefusalReason.INTERNAL, Unknown(), detail=detail)

    async def _read_events(self, run: RequestRun) -> AnswerStream:
        """Yield the events of a run.

        An idempotent run is cancelled when its last reader disconnects early. A non-idempotent run
        continues to its end, since it is the only run from which its caller can get the answer.
        """
        run.readers += 1
        try:
            async for event in run.replay():
                yield event
        finally:
            run.readers -= 1
            is_unread = run.readers == 0 and run.outcome is None
            if is_unread and run.idempotent and run.task is not None:
                run.task.cancel()

    async def _answer_forwarded(
        self, key: RequestKey, request: CallerRequest, ticket: Ticket
    ) -> AnswerStream:
        """Answer a request that a peer forwarded to this router.

        :param ticket: ticket of the request, whose home is not the current incarnation.
        """
        if request.idempotent:
            async with aclosing(self._run(key, request)) as events:
                async for event in events:
                    yield event
            return
        # The home is an earlier incarnation of this process, or belongs to another process. The
        # request must not run here: another router may already have answered that it did not run.
        yield await self._prove_outcome(request, ticket)

    async def _join_or_run(
        self, key: RequestKey, request: CallerRequest, ticket: Ticket
    ) -> AnswerStream:
        """Join an idempotent request at its home router if that has seen it, else run it here."""
        address = self._home_address(ticket)
        if address and await self._has_seen(address, key):
            has_output = False
            try:
                async with aclosing(forward(self._peers, address, request)) as events:
                    async for event in events:
                        has_output = has_output or isinstance(event, Chunk)
                        yield event
                return
            except PeerUnavailableError as error:
                if has_output:
                    yield home_router_failure(error, Unknown())
                    return
        async with aclosing(self._run(key, request)) as events:
            async for event in events:
                yield event

    async def _has_seen(self, address: str, key: RequestKey) -> bool:
        """Return whether a peer has seen a request; false if the peer is unreachable."""
        try:
            outcome = await self._peers.ask_outcome(address, key.workspace, key.request)
        except PeerUnavailableError:
            return False
        return outcome is not None

    async def _forward_home(self, request: CallerRequest, ticket: Ticket) -> AnswerStream:
        """Forward a non-idempotent request to its home router.

        If the home router has stopped, yield a failure with the outcome that its journal proves.
        """
        address = self._home_address(ticket)
        if not address:
            yield await self._prove_outcome(request, ticket)
            return
        try:
            async with aclosing(forward(self._peers, address, request)) as events:
                async for event in events:
                    yield event
        except PeerUnavailableError as error:
            # Even if this call did not reach the home router, an earlier one may have.
            yield home_router_failure(error, Unknown())

    async def _prove_outcome(self, request: CallerRequest, ticket: Ticket) -> Failed:
        """Return the failure of a non-idempotent request whose home router has stopped."""
        key = RequestKey(request.workspace, request.request_id)
        outcome = await self._proofs.outcome(ticket, key)
        if isinstance(outcome, NotRun):
            detail = "its home has left without running it; ask for a new address"
            return Failed(RefusalReason.HOME_GONE, outcome, HOME_ROUTER_RETRY_SECONDS, detail)
        detail = "its home is gone and may have run it"
        return Failed(RefusalReason.HOME_GONE, outcome, 0.0, detail)

    def _home_address(self, ticket: Ticket) -> str:
        """Return the address of a ticket's home router, or "" unless it is another member."""
        member = self._blackboard.members_by_incarnation.get(ticket.home)
        if member is None or member.address == self._blackboard.identity.address:
            return ""
        return member.address


def _has_later_ticket(existing: RequestRun, request: CallerRequest) -> bool:
    """Return whether a request has a later ticket than an existing run."""
    if existing.ticket_expires_at is None or request.ticket is None:
        return False
    return request.ticket.expires_at > existing.ticket_expires_at


async def _single_event(event: AnswerEvent) -> AnswerStream:
    """Yield a single event."""
    yield event
