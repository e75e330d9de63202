"""Sends a request to upstreams until one answers or no further attempt is allowed."""

import asyncio
from collections.abc import Callable

from quinceferry_core.clocks import Clock
from quinceferry_gateway.answers import (
    AttemptOutcome,
    NotRun,
    Reason,
    Refusal,
    StreamedAnswer,
    UnknownOutcome,
    WholeAnswer,
)
from quinceferry_gateway.attempt_log import AttemptLog
from quinceferry_gateway.blackboard import Blackboard, Member
from quinceferry_gateway.catalog import AnswerHead, Upstream
from quinceferry_gateway.crashes import CrashMonitor
from quinceferry_gateway.decisions import Attempt, Placement, UpstreamStates
from quinceferry_gateway.exceptions import (
    ConnectionBrokenError,
    ForeignAnswerError,
    NotListeningError,
    NotSentError,
    PeerClosedError,
)
from quinceferry_gateway.exchanges import MAX_EVENT_GAP_SECONDS, UpstreamExchanges
from quinceferry_gateway.forwarding import PeerUnavailable, RequestForwarder
from quinceferry_gateway.interfaces import Dialect
from quinceferry_gateway.logs import log
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.reachability import ReachabilityMonitor
from quinceferry_gateway.retries import RetryBudget
from quinceferry_gateway.sends import SendNotifier
from quinceferry_gateway.transport import CONNECT_TIMEOUT_SECONDS
from quinceferry_gateway.upstream_choice import PermitDenied, UpstreamSelector

FIRST_BYTE_TIMEOUT_OBJECTIVES = 2.5
"""Time to wait for an upstream's first byte, as a multiple of the route's objective, before a
repeatable request is retried elsewhere. Loaded upstreams answer within twice the objective; callers
abandon a stream after four times."""
MAX_WAIT_SHARE = 0.5
"""Maximum share of the remaining time for one wait, so that the next attempt has as much left."""
CONNECT_SHARE = 0.9
"""Largest share of the remaining time, and of the wait for a first byte, that connecting may take.
An attempt whose time ended while it connected would count as one that may have run."""
MAX_PERMIT_WAIT_OBJECTIVES = 0.5
"""Longest wait for a permit, as a multiple of the route's objective; the answer can still meet the
objective after it."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest retry time sent to a caller when all upstreams are paused."""
FIRST_SERVER_ERROR_STATUS = 500
MAY_HAVE_RUN_REASONS = frozenset({Reason.TIMED_OUT, Reason.OUTCOME_UNKNOWN})


class Relay:
    """Runs requests at upstreams.

    :param selector: selects the upstream of each attempt.
    :param send_notifier: announces prompts that keep an engine busy to peers.
    :param retry_budget: returns the retry budget of a service.
    :param crashes: records connections that upstreams closed, and content in quarantine.
    :param attempt_log: logs and counts each attempt.
    :param reachability: determines which services this gateway reaches.
    :param forwarder: forwards requests to peers that reach the upstreams.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        upstream_states: UpstreamStates,
        selector: UpstreamSelector,
        send_notifier: SendNotifier,
        dialect: Dialect,
        exchanges: UpstreamExchanges,
        clock: Clock,
        retry_budget: Callable[[str], RetryBudget],
        crashes: CrashMonitor,
        attempt_log: AttemptLog,
        reachability: ReachabilityMonitor,
        forwarder: RequestForwarder,
    ) -> None:
        self._reachability = reachability
        self._forwarder = forwarder
        self._attempt_log = attempt_log
        self._blackboard = blackboard
        self._upstream_states = upstream_states
        self._selector = selector
        self._send_notifier = send_notifier
        self._dialect = dialect
        self._exchanges = exchanges
        self._clock = clock
        self._retry_budget = retry_budget
        self._crashes = crashes

    async def run(self, progress: Progress) -> WholeAnswer | StreamedAnswer | Refusal:
        """Send a request until it is answered or no attempt is left."""
        if not progress.forwarded:
            self._retry_budget(progress.service).count_request()
        while True:
            match await self._next_placement(progress):
                case Placement() as placement:
                    answer = await self._run_attempt(progress, placement)
                case Member() as peer:
                    answer = await self._forward(progress, peer)
                case final_answer:
                    return final_answer
            if answer is not None:
                return answer

    async def _run_attempt(
        self, progress: Progress, placement: Placement
    ) -> WholeAnswer | StreamedAnswer | Refusal | None:
        """Send the request to an upstream; return the final answer, None to go on."""
        progress.tried_upstream_ids.append(placement.upstream.id)
        outcome = await self._attempt(progress, placement)
        missing_seconds = self._missing_seconds(placement.upstream)
        self._attempt_log.record(progress, placement, outcome, missing_seconds)
        match outcome:
            case StreamedAnswer():
                self._crashes.request_completed(progress)
                return outcome
            case WholeAnswer(head, _):
                progress.may_have_run = True
                if head.status < FIRST_SERVER_ERROR_STATUS:
                    self._crashes.request_completed(progress)
                if not self._should_retry_elsewhere(progress, head):
                    return outcome
                progress.last_failure = outcome
            case NotRun(detail, sent, misdirected, _):
                progress.delivered_sends += sent
                progress.misdirected += misdirected
                progress.last_detail = detail
            case UnknownOutcome(detail):
                progress.delivered_sends += 1
                progress.may_have_run = True
                progress.last_detail = detail
                if not progress.route.retryable or not self._crashes.may_retry(progress):
                    return self._unrepeatable_refusal(progress)
        return None

    async def _forward(
        self, progress: Progress, peer: Member
    ) -> WholeAnswer | StreamedAnswer | Refusal | None:
        """Forward the request to a peer; return the final answer, None to go on."""
        progress.retry_granted = False
        match await self._forwarder.forward(progress, peer):
            case PeerUnavailable(detail):
                progress.last_detail = detail
                return None
            case UnknownOutcome(detail):
                progress.delivered_sends += 1
                progress.may_have_run = True
                progress.last_detail = detail
                return None if progress.route.retryable else self._unrepeatable_refusal(progress)
            case Refusal() as refusal:
                progress.may_have_run |= refusal.reason in MAY_HAVE_RUN_REASONS
                if progress.may_have_run and refusal.reason not in MAY_HAVE_RUN_REASONS:
                    return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)
                return refusal
            case WholeAnswer() | StreamedAnswer() as answer:
                progress.may_have_run = True
                return answer

    def _unrepeatable_refusal(self, progress: Progress) -> Refusal:
        """Return the refusal of a request that may have run and must not run again."""
        if self._clock.monotonic() >= progress.deadline_at:
            return self._timeout_refusal(progress)
        return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)

    async def _next_placement(
        self, progress: Progress
    ) -> Placement | Member | Refusal | WholeAnswer:
        """Return where to send the request next, or the final answer if there is nowhere."""
        while True:
            answer = self._final_answer(progress)
            if answer is not None:
                return answer
            if self._forwarder.needs_peer(progress):
                return self._next_peer(progress)
            placement = self._selector.select_preferred(progress)
            if placement is None and not self._selector.has_usable_upstream(progress):
                return self._given_up_answer(progress)
            if progress.delivered_sends and not self._acquire_retry(progress):
                return self._given_up_answer(progress)
            max_wait_seconds = self._max_permit_wait_seconds(progress)
            match await self._selector.acquire(progress, placement, max_wait_seconds):
                case PermitDenied(retry_seconds):
                    return self._rate_limited_answer(progress, retry_seconds)
                case Placement() as chosen if self._final_answer(progress) is None:
                    progress.retry_granted = False
                    return chosen

    def _next_peer(self, progress: Progress) -> Member | Refusal | WholeAnswer:
        """Return the peer to which to forward the request, or the final answer if there is none."""
        peer = self._forwarder.choose_peer(progress)
        if peer is None or (progress.delivered_sends and not self._acquire_retry(progress)):
            return self._given_up_answer(progress, Reason.UPSTREAMS_UNREACHABLE)
        return peer

    def _final_answer(self, progress: Progress) -> Refusal | WholeAnswer | None:
        """Return the final answer if the request must not be sent any more, else None."""
        if self._clock.monotonic() >= progress.deadline_at:
            return self._timeout_refusal(progress)
        # Its content may have been quarantined while it waited for a permit.
        refusal = self._crashes.quarantine_refusal(progress)
        if refusal is not None:
            return self._quarantine_refusal(progress, refusal)
        if progress.remaining_attempts <= 0:
            return self._given_up_answer(progress)
        return None

    def _max_permit_wait_seconds(self, progress: Progress) -> float:
        """Return the longest time that a request may wait for a permit."""
        remaining = progress.deadline_at - self._clock.monotonic()
        wait = MAX_PERMIT_WAIT_OBJECTIVES * progress.route.expected_seconds
        return max(0.0, min(wait, MAX_WAIT_SHARE * remaining))

    def _missing_seconds(self, upstream: Upstream) -> float | None:
        """Return how long a used upstream has been missing from the list, None if it is listed."""
        missing_since = self._blackboard.missing_since_by_upstream.get(upstream.id)
        return None if missing_since is None else self._clock.monotonic() - missing_since

    def _acquire_retry(self, progress: Progress) -> bool:
        """Take one more send from the retry budget; return whether it was granted."""
        if not progress.retry_granted:
            gateways = len(self._blackboard.members_by_vm.keys() | {self._blackboard.own.vm})
            progress.retry_granted = self._retry_budget(progress.service).try_acquire(gateways)
            if not progress.retry_granted:
                log.failure("retry.budget_spent", request=progress.call.request_id)
        return progress.retry_granted

    def _given_up_answer(
        self, progress: Progress, reason: Reason | None = None
    ) -> Refusal | WholeAnswer:
        """Return the final answer to a request that has no attempt left.

        :param reason: why it can't be sent, if that is known already.
        """
        if progress.last_failure is not None:
            return progress.last_failure
        if progress.may_have_run:
            return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)
        if reason is not None:
            return Refusal(reason, progress.last_detail)
        pause_seconds = self._pause_seconds(progress)
        if pause_seconds:
            detail = progress.last_detail or "all upstreams asked for a pause"
            return Refusal(Reason.UPSTREAMS_PAUSED, detail, retry_seconds=pause_seconds)
        if self._selector.lacks_compatible_upstream(progress):
            return Refusal(Reason.NO_COMPATIBLE_UPSTREAM, f"stream of {progress.stream.origin}")
        if self._selector.is_away_from_home(progress):
            return Refusal(Reason.NO_HOME_UPSTREAM, progress.last_detail)
        if self._selector.is_evacuated(progress):
            return Refusal(Reason.ZONE_EVACUATED, progress.last_detail)
        reason = Reason.UPSTREAMS_REFUSED if progress.tried_upstream_ids else Reason.NO_UPSTREAM
        return Refusal(reason, progress.last_detail)

    def _rate_limited_answer(
        self, progress: Progress, retry_seconds: float
    ) -> Refusal | WholeAnswer:
        """Return the final answer to a request that got no permit in time."""
        if progress.last_failure is not None or progress.may_have_run:
            return self._given_up_answer(progress)
        detail = progress.last_detail or "all upstreams limit their request rate"
        return Refusal(Reason.UPSTREAMS_LIMITED, detail, retry_seconds=retry_seconds)

    @staticmethod
    def _quarantine_refusal(progress: Progress, refusal: Refusal) -> Refusal:
        """Return the refusal of a request that crashes upstreams."""
        if progress.may_have_run:
            return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)
        return refusal

    def _timeout_refusal(self, progress: Progress) -> Refusal:
        """Return the refusal of a request whose deadline has passed.

        If it has not run and all upstreams are paused, a retry can succeed only after the pause.
        """
        if progress.may_have_run:
            return Refusal(Reason.TIMED_OUT, progress.last_detail)
        pause_seconds = self._pause_seconds(progress) or None
        return Refusal(Reason.TIMED_OUT_UNSENT, progress.last_detail, retry_seconds=pause_seconds)

    def _pause_seconds(self, progress: Progress) -> float:
        """Return the retry time while all upstreams are paused, zero if one is not."""
        return min(self._selector.remaining_pause_seconds(progress), MAX_RETRY_AFTER_SECONDS)

    def _should_retry_elsewhere(self, progress: Progress, head: AnswerHead) -> bool:
        """Return whether to retry elsewhere after an upstream answered with a server error."""
        if (
            head.status < FIRST_SERVER_ERROR_STATUS
            or not progress.route.retryable
            or progress.stream.head_sent
        ):
            return False
        progress.delivered_sends += 1
        return progress.remaining_attempts > 0

    async def _attempt(self, progress: Progress, placement: Placement) -> AttemptOutcome:
        """Send the request to one upstream and return the outcome."""
        upstream = placement.upstream
        remaining = progress.deadline_at - self._clock.monotonic()
        headers = self._dialect.upstream_headers(
            progress.call,
            upstream,
            remaining_seconds=remaining,
            workspace=progress.workspace.name if progress.workspace else None,
            priority=_priority(progress),
            resume_after=progress.stream.buffer.last_id,
            fetch_from=placement.fetch_from.address if placement.fetch_from else "",
        )
        attempt = self._register_attempt(progress, placement)
        try:
            async with asyncio.timeout(remaining) as progress.attempt_timeout:
                return await self._exchange_with_timeout(progress, upstream, headers, attempt)
        except NotSentError as error:
            now = self._clock.monotonic()
            attempt.record_failure(now)
            # A lost packet makes a connection time out as well, and says nothing of the process.
            if isinstance(error, NotListeningError):
                self._upstream_states.get(upstream).silent_at = now
            await self._reachability.connection_failed(upstream)
            return NotRun(str(error), sent=False)
        except ForeignAnswerError as error:
            return UnknownOutcome(str(error))
        except PeerClosedError as error:
            now = self._clock.monotonic()
            attempt.record_failure(now)
            await self._crashes.connection_closed(progress, upstream, attempt.stage(now))
            return UnknownOutcome(str(error))
        except ConnectionBrokenError as error:
            attempt.record_failure(self._clock.monotonic())
            return UnknownOutcome(str(error))
        except TimeoutError:
            return UnknownOutcome("the request's time is up")
        finally:
            progress.attempt_timeout = None
            attempt.finish(self._clock.monotonic())
            self._selector.request_finished(upstream)

    def _register_attempt(self, progress: Progress, placement: Placement) -> Attempt:
        """Record an attempt that is about to be sent, and announce it to peers."""
        self._send_notifier.notify_peers(placement, progress.demand)
        return self._upstream_states.start_attempt(
            placement.upstream,
            placement.uncached_tokens,
            progress.demand.prefix_key,
            self._clock.monotonic(),
        )

    async def _exchange_with_timeout(
        self,
        progress: Progress,
        upstream: Upstream,
        headers: list[tuple[bytes, bytes]],
        attempt: Attempt,
    ) -> AttemptOutcome:
        """Send the request; give up an upstream that sends no byte in time if another can serve it.

        :raises NotSentError: the connection could not be established.
        :raises ConnectionBrokenError: the upstream was given up.
        """
        events_before = progress.stream.buffer.count
        exchange = asyncio.create_task(
            self._exchanges.exchange(
                progress, upstream, headers, attempt, self._connect_timeout_seconds(progress)
            )
        )
        try:
            await asyncio.wait((exchange,), timeout=self._first_byte_timeout_seconds(progress))
            no_event_received = (
                not exchange.done() and progress.stream.buffer.count == events_before
            )
            if (
                no_event_received
                and self._can_retry_elsewhere(progress)
                and self._acquire_retry(progress)
            ):
                self._reachability.begin_check(upstream)
                raise ConnectionBrokenError("no answer yet", step="wait", peer=upstream.address)
            return await exchange
        finally:
            exchange.cancel()
            await asyncio.gather(exchange, return_exceptions=True)

    def _first_byte_timeout_seconds(self, progress: Progress) -> float:
        """Return how long to wait for an upstream's first byte."""
        if progress.stream.head_sent:
            return MAX_EVENT_GAP_SECONDS
        remaining = progress.deadline_at - self._clock.monotonic()
        timeout_seconds = FIRST_BYTE_TIMEOUT_OBJECTIVES * progress.route.expected_seconds
        return min(timeout_seconds, MAX_WAIT_SHARE * remaining)

    def _connect_timeout_seconds(self, progress: Progress) -> float:
        """Return how long to wait for a connection to an upstream."""
        remaining = progress.deadline_at - self._clock.monotonic()
        wait_seconds = min(remaining, self._first_byte_timeout_seconds(progress))
        return min(CONNECT_TIMEOUT_SECONDS, CONNECT_SHARE * wait_seconds)

    def _can_retry_elsewhere(self, progress: Progress) -> bool:
        """Return whether another attempt elsewhere may follow the running one."""
        route = progress.route
        if not route.retryable or progress.remaining_attempts <= 1:
            return False
        return self._selector.select_unlimited(progress) is not None


def _priority(progress: Progress) -> int:
    """Return the priority to send to the upstream: the workspace's, or else the route's."""
    workspace = progress.workspace
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return progress.route.priority
