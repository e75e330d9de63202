"""Attempts of one request at upstreams, until one answers or no further attempt is allowed."""

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
from quinceferry_gateway.attempt_log import log_attempt
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import AnswerHead, Upstream
from quinceferry_gateway.crashes import CrashMonitor, quarantine_refusal
from quinceferry_gateway.decisions import Attempt, Placement, UpstreamStates
from quinceferry_gateway.exceptions import (
    ConnectionBrokenError,
    ForeignAnswerError,
    NotSentError,
    PeerClosedError,
)
from quinceferry_gateway.exchanges import MAX_EVENT_GAP_SECONDS, UpstreamExchanges
from quinceferry_gateway.interfaces import Dialect
from quinceferry_gateway.logs import log
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.retries import RetryBudget
from quinceferry_gateway.sends import SendNotifier
from quinceferry_gateway.upstream_choice import PermitDenied, UpstreamSelector

FIRST_BYTE_TIMEOUT_OBJECTIVES = 2.5
"""How many times the objective an upstream may take until its first byte, before a request that may
run again goes on elsewhere. Loaded upstreams answer within twice the objective; callers leave a
stream after four times."""
MAX_WAIT_SHARE = 0.5
"""Most of the remaining time that is spent so, which leaves as much to the next attempt."""
MAX_PERMIT_WAIT_OBJECTIVES = 0.5
"""Longest wait for a permit as a multiple of the objective, which the answer can still meet."""
MAX_RETRY_AFTER_SECONDS = 60.0
"""Longest retry time returned to a caller when all upstreams are paused."""
FIRST_SERVER_ERROR_STATUS = 500


class Relay:
    """Attempts requests at upstreams.

    :param send_notifier: tells peers of prompts that keep an engine busy.
    :param retry_budget: returns the retry budget of a service.
    :param crashes: is told of connections that upstreams closed, and knows what must not run.
    :param selector: chooses the upstream of each attempt.
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
    ) -> None:
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
        """Attempt a request until it is answered or must be given up."""
        self._retry_budget(progress.service).count_request()
        while True:
            placement = await self._next_placement(progress)
            if not isinstance(placement, Placement):
                return placement
            progress.tried_upstream_ids.append(placement.upstream.id)
            outcome = await self._attempt(progress, placement)
            log_attempt(progress, placement, outcome, self._missing_seconds(placement.upstream))
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
                case NotRun(detail, sent, misdirected):
                    progress.delivered_sends += sent
                    progress.misdirected += misdirected
                    progress.last_detail = detail
                case UnknownOutcome(detail):
                    progress.delivered_sends += 1
                    progress.may_have_run = True
                    progress.last_detail = detail
                    if not progress.route.retryable or not self._crashes.may_retry(progress):
                        return self._answer_unrepeatable(progress)

    def _answer_unrepeatable(self, progress: Progress) -> Refusal:
        """Return the answer to a request that may have run and must not run again."""
        if self._clock.monotonic() >= progress.deadline_at:
            return self._answer_timed_out(progress)
        return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)

    async def _next_placement(self, progress: Progress) -> Placement | Refusal | WholeAnswer:
        """Return where to send the request next, or why it ends here."""
        while True:
            answer = self._final_answer(progress)
            if answer is not None:
                return answer
            placement = self._selector.select_preferred(progress)
            if placement is None and not self._selector.has_usable_upstream(progress):
                return self._answer_given_up(progress)
            if progress.delivered_sends and not self._acquire_retry(progress):
                return self._answer_given_up(progress)
            max_wait = self._max_permit_wait_seconds(progress)
            match await self._selector.acquire(progress, placement, max_wait):
                case PermitDenied(retry_seconds):
                    return self._answer_rate_limited(progress, retry_seconds)
                case Placement() as chosen if self._final_answer(progress) is None:
                    progress.retry_granted = False
                    return chosen

    def _final_answer(self, progress: Progress) -> Refusal | WholeAnswer | None:
        """Return the final answer if the request may not be sent any more, else None."""
        if self._clock.monotonic() >= progress.deadline_at:
            return self._answer_timed_out(progress)
        # Others may have found out what the request does while it waited for its turn.
        held_seconds = self._crashes.quarantine_seconds(progress)
        if held_seconds:
            return self._answer_quarantined(progress, held_seconds)
        # What reached another upstream than the chosen one was no attempt at the service.
        if progress.delivered_sends - progress.misdirected >= progress.route.max_attempts:
            return self._answer_given_up(progress)
        return None

    def _max_permit_wait_seconds(self, progress: Progress) -> float:
        """Return how long a request may wait for a permit."""
        remaining = progress.deadline_at - self._clock.monotonic()
        wait = MAX_PERMIT_WAIT_OBJECTIVES * progress.route.objective_seconds
        return max(0.0, min(wait, MAX_WAIT_SHARE * remaining))

    def _missing_seconds(self, upstream: Upstream) -> float | None:
        """Return for how long the list has lacked an upstream that is used; None if it is there."""
        missing_since = self._blackboard.missing_since_by_upstream.get(upstream.id)
        return None if missing_since is None else self._clock.monotonic() - missing_since

    def _acquire_retry(self, progress: Progress) -> bool:
        """Tell whether the retry budget grants one more send, and take it."""
        if not progress.retry_granted:
            members = len(self._blackboard.usable_members())
            progress.retry_granted = self._retry_budget(progress.service).try_acquire(members)
            if not progress.retry_granted:
                log.failure("retry.budget_spent", request=progress.call.request_id)
        return progress.retry_granted

    def _answer_given_up(self, progress: Progress) -> Refusal | WholeAnswer:
        """Return the answer to a request for which no attempt is left."""
        if progress.last_failure is not None:
            return progress.last_failure
        if progress.may_have_run:
            return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)
        pause_seconds = min(
            self._selector.remaining_pause_seconds(progress), MAX_RETRY_AFTER_SECONDS
        )
        if pause_seconds:
            detail = progress.last_detail or "all upstreams asked for a pause"
            return Refusal(Reason.UPSTREAMS_PAUSED, detail, retry_seconds=pause_seconds)
        reason = Reason.UPSTREAMS_REFUSED if progress.tried_upstream_ids else Reason.NO_UPSTREAM
        return Refusal(reason, progress.last_detail)

    def _answer_rate_limited(
        self, progress: Progress, retry_seconds: float
    ) -> Refusal | WholeAnswer:
        """Return the answer to a request that gets no permit within its longest wait."""
        if progress.last_failure is not None or progress.may_have_run:
            return self._answer_given_up(progress)
        detail = progress.last_detail or "all upstreams limit their request rate"
        return Refusal(Reason.UPSTREAMS_LIMITED, detail, retry_seconds=retry_seconds)

    @staticmethod
    def _answer_quarantined(progress: Progress, held_seconds: float) -> Refusal:
        """Return the answer to a request whose content crashes upstreams."""
        if progress.may_have_run:
            return Refusal(Reason.OUTCOME_UNKNOWN, progress.last_detail)
        return quarantine_refusal(progress, held_seconds)

    @staticmethod
    def _answer_timed_out(progress: Progress) -> Refusal:
        """Return the answer to a request whose time is up."""
        reason = Reason.TIMED_OUT if progress.may_have_run else Reason.TIMED_OUT_UNSENT
        return Refusal(reason, progress.last_detail)

    def _should_retry_elsewhere(self, progress: Progress, head: AnswerHead) -> bool:
        """Tell whether an upstream's own failure should be tried elsewhere."""
        if (
            head.status < FIRST_SERVER_ERROR_STATUS
            or not progress.route.retryable
            or progress.stream.head_sent
        ):
            return False
        progress.delivered_sends += 1
        return progress.delivered_sends < progress.route.max_attempts

    async def _attempt(self, progress: Progress, placement: Placement) -> AttemptOutcome:
        """Send the request to one upstream."""
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
            async with asyncio.timeout(remaining):
                return await self._exchange_with_timeout(progress, upstream, headers, attempt)
        except NotSentError as error:
            attempt.record_failure(self._clock.monotonic())
            return NotRun(str(error), sent=False)
        except ForeignAnswerError as error:
            return UnknownOutcome(str(error))
        except PeerClosedError as error:
            attempt.record_failure(self._clock.monotonic())
            await self._crashes.connection_closed(progress, upstream, attempt.stage)
            return UnknownOutcome(str(error))
        except ConnectionBrokenError as error:
            attempt.record_failure(self._clock.monotonic())
            return UnknownOutcome(str(error))
        except TimeoutError:
            return UnknownOutcome("the request's time is up")
        finally:
            attempt.finish(self._clock.monotonic())

    def _register_attempt(self, progress: Progress, placement: Placement) -> Attempt:
        """Note an attempt that is about to be sent, here and at peers."""
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
        """Send the request; leave an upstream that sends nothing while another may serve it.

        :raises ConnectionBrokenError: the upstream was left.
        """
        events_before = progress.stream.buffer.count
        exchange = asyncio.create_task(
            self._exchanges.exchange(progress, upstream, headers, attempt)
        )
        try:
            await asyncio.wait((exchange,), timeout=self._first_byte_timeout_seconds(progress))
            silent = not exchange.done() and progress.stream.buffer.count == events_before
            if silent and self._can_retry_elsewhere(progress) and self._acquire_retry(progress):
                raise ConnectionBrokenError("no answer yet", step="wait", peer=upstream.address)
            return await exchange
        finally:
            exchange.cancel()
            await asyncio.gather(exchange, return_exceptions=True)

    def _first_byte_timeout_seconds(self, progress: Progress) -> float:
        """Return how long an upstream may take until its first byte."""
        if progress.stream.head_sent:
            return MAX_EVENT_GAP_SECONDS
        remaining = progress.deadline_at - self._clock.monotonic()
        first_byte_timeout = FIRST_BYTE_TIMEOUT_OBJECTIVES * progress.route.objective_seconds
        return min(first_byte_timeout, MAX_WAIT_SHARE * remaining)

    def _can_retry_elsewhere(self, progress: Progress) -> bool:
        """Tell whether the attempt under way may be followed by another one elsewhere."""
        route = progress.route
        if (
            not route.retryable
            or progress.delivered_sends - progress.misdirected + 1 >= route.max_attempts
        ):
            return False
        return self._selector.select_unlimited(progress) is not None


def _priority(progress: Progress) -> int:
    """Return the priority that the upstream is told; a workspace's own goes first."""
    workspace = progress.workspace
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return progress.route.priority
