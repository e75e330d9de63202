"""Attempts of one request: runs at upstreams, each over one or more connections.

A connection that is interrupted or times out is dropped, and the run is resumed at the same
upstream on a new one, from the first token not yet delivered. Only after the last connection to an
upstream has failed may the request run at another one, and only if it is idempotent or provably did
not begin.
"""

import asyncio
from dataclasses import replace

from returns.result import Failure, Result, Success

from quinceferry_core.backoffs import Backoff
from quinceferry_core.exceptions import UpstreamError
from quinceferry_core.models import CallerRequest, UpstreamId, UpstreamSpec
from quinceferry_core.outcomes import (
    Failed,
    Finished,
    NotRun,
    NotRunProof,
    Outcome,
    RefusalReason,
    Run,
    Unknown,
)
from quinceferry_core.reassembly import DeliveredText
from quinceferryd.answer_buffer import AnswerBuffer
from quinceferryd.connections import Connection, ConnectionEnding, UpstreamRun
from quinceferryd.stream_contexts import StreamContext
from quinceferryd.stream_results import Attempt, DispatchHook, StreamResult

MAX_CANCEL_CALLS = 3
"""Calls to an upstream to cancel one attempt."""
UPSTREAM_FAILED_RETRY_SECONDS = 1.0
"""Retry delay suggested to a caller whose idempotent request failed at its upstreams."""


class AttemptLoop:
    """Runs one request until its answer is complete or no further attempt is allowed.

    :param token_cap: upper bound of the prompt and output tokens of each attempt.
    :param on_dispatch: awaited before the first byte of a run is sent.
    :param result: accounting of the attempts, updated in place.
    :param buffer: receives the events of the answer.
    """

    def __init__(
        self,
        context: StreamContext,
        request: CallerRequest,
        token_cap: int,
        on_dispatch: DispatchHook,
        result: StreamResult,
        buffer: AnswerBuffer,
    ) -> None:
        self._context = context
        self._request = request
        self._token_cap = token_cap
        self._on_dispatch = on_dispatch
        self._result = result
        self._buffer = buffer
        self._delivered = DeliveredText()
        self._connection_number = 0
        self._deadline = context.clock.monotonic() + request.deadline_seconds
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run the request and write its events to the buffer, including the final one."""
        try:
            final_event = await self._run_attempts()
        except Exception as error:
            self._result.outcome = self._incomplete_outcome()
            self._buffer.fail(error)
            return
        await self._finish_cancels()
        self._result.delivered_tokens = self._delivered.tokens
        self._result.outcome = (
            Run(final_event.usage) if isinstance(final_event, Finished) else final_event.outcome
        )
        self._buffer.finish(final_event)

    async def close(self, task: asyncio.Task[None]) -> None:
        """Stop the run if the caller disconnected early, and complete the accounting.

        :param task: task that executes :meth:`run`.
        """
        if not task.done():
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self._result.outcome = self._incomplete_outcome()
            self._result.delivered_tokens = self._delivered.tokens
        await self._finish_cancels()

    async def _run_attempts(self) -> Finished | Failed:
        scheduler = self._context.scheduler
        excluded: frozenset[UpstreamId] = frozenset()
        while True:
            quarantine_failure = await self._context.crash_watch.refusal_after_settling(
                self._request
            )
            if quarantine_failure is not None:
                return self._with_combined_outcome(quarantine_failure)
            chosen = await self._choose(excluded)
            if isinstance(chosen, Failure):
                return self._with_combined_outcome(chosen.failure())
            upstream = chosen.unwrap()
            self._connection_number = next(self._context.connection_numbers)
            attempt = Attempt(self._connection_number, upstream.id)
            scheduler.record_sent(self._request, upstream.id)
            try:
                dispatch_failure = await self._on_dispatch(upstream, self._connection_number)
                if dispatch_failure is not None:
                    return self._with_combined_outcome(dispatch_failure)
                # Resumes are sent under the same incarnation, whose journal records the attempt.
                attempt.sender = replace(self._context.identity())
                self._result.attempts.append(attempt)
                ending = await self._run_unless_leaving(upstream, attempt)
            finally:
                scheduler.record_ended(self._request, upstream.id)
            if isinstance(ending, Finished):
                self._context.crash_watch.record_completion(self._request)
                return ending
            excluded |= {upstream.id}
            failed = self._retry_refusal(upstream, attempt, ending)
            if failed is not None:
                return failed
            self._context.counters.reruns += 1
            await self._back_off(len(self._result.attempts))

    async def _choose(self, excluded: frozenset[UpstreamId]) -> Result[UpstreamSpec, Failed]:
        """Choose an untried upstream, or else one whose earlier run is known to have ended."""
        scheduler = self._context.scheduler
        chosen = scheduler.choose(self._request, excluded)
        if isinstance(chosen, Success) or not excluded:
            return chosen
        await self._finish_cancels()
        unsettled = {
            attempt.upstream for attempt in self._result.possible_runs if attempt.tokens is None
        }
        return scheduler.choose(self._request, frozenset(unsettled))

    async def _run_unless_leaving(
        self, upstream: UpstreamSpec, attempt: Attempt
    ) -> Finished | ConnectionEnding:
        """Run the request at an upstream, unless that began to leave during the dispatch."""
        if self._context.scheduler.tracker.is_leaving(upstream):
            attempt.not_run_proof = NotRunProof.NEVER_SENT
            return ConnectionEnding.NOT_SENT
        self._context.scheduler.record_dispatched(self._request, upstream.id)
        return await self._run_at(upstream, attempt)

    async def _run_at(
        self, upstream: UpstreamSpec, attempt: Attempt
    ) -> Finished | ConnectionEnding:
        """Run the request at one upstream, over as many connections as needed."""
        run = UpstreamRun(self._request, upstream, self._delivered)
        ending: Finished | ConnectionEnding = ConnectionEnding.LOST
        connection_lost = False
        try:
            ending = await self._connect(run, attempt, is_resume=False)
            while isinstance(ending, ConnectionEnding) and self._may_resume(run, ending):
                await self._back_off(run.connections_without_progress)
                self._connection_number = next(self._context.connection_numbers)
                self._context.counters.resumes += 1
                self._result.resumes += 1
                connection_lost = connection_lost or ending is ConnectionEnding.LOST
                ending = await self._connect(run, attempt, is_resume=True)
            if connection_lost and ending is ConnectionEnding.UNREACHABLE:
                # After a lost connection nothing listens on the port: the engine has crashed.
                self._context.crash_watch.record_crash(
                    self._request, upstream.id, run.reassembler.next_offset > 0
                )
        finally:
            self._context.counters.duplicate_chunks += run.reassembler.duplicates
            self._record_end(upstream, attempt, ending)
        return ending

    async def _connect(
        self, run: UpstreamRun, attempt: Attempt, *, is_resume: bool
    ) -> Finished | ConnectionEnding:
        identity = attempt.sender or self._context.identity()
        connection = Connection(
            self._context.upstreams,
            self._context.scheduler,
            self._context.settings,
            run,
            self._buffer,
        )
        ending = await connection.relay(
            identity,
            self._connection_number,
            self._token_cap,
            resumed_attempt=attempt.number if is_resume else None,
        )
        tracker = self._context.scheduler.tracker
        if isinstance(ending, ConnectionEnding):
            self._context.counters.endings[ending] += 1
            if ending.is_failure and not self._is_prefilling(run, ending):
                tracker.record_failure(run.upstream.id)
        else:
            tracker.record_success(run.upstream.id)
        return ending

    def _may_resume(self, run: UpstreamRun, ending: ConnectionEnding) -> bool:
        """Return whether the run may be resumed on a new connection to the same upstream."""
        if not ending.is_resumable or run.is_service:
            return False
        if self._context.clock.monotonic() >= self._deadline:
            return False
        if self._is_prefilling(run, ending):
            return True
        has_no_alternative = not self._request.idempotent or self._delivered.tokens > 0
        return run.connections_without_progress < run.max_connections_without_progress(
            has_no_alternative
        )

    def _is_prefilling(self, run: UpstreamRun, ending: ConnectionEnding) -> bool:
        """Return whether a timeout is attributed to a long prefill.

        This holds before the first token, while the engine still reports its load.
        """
        if ending is not ConnectionEnding.TIMED_OUT or run.reassembler.next_offset:
            return False
        return self._context.scheduler.tracker.has_fresh_report(run.upstream)

    def _retry_refusal(
        self, upstream: UpstreamSpec, attempt: Attempt, ending: ConnectionEnding
    ) -> Failed | None:
        """Return the failure that ends the request, or None if it may run at another upstream."""
        detail = self._retry_obstacle(attempt, ending)
        if not detail:
            return None
        failed = Failed(
            RefusalReason.UPSTREAM_FAILED,
            Unknown(),
            UPSTREAM_FAILED_RETRY_SECONDS if self._request.idempotent else 0.0,
            f"{ending.value}: {detail}",
            step="streams.run",
            peer=upstream.id,
        )
        return self._with_combined_outcome(failed)

    def _retry_obstacle(self, attempt: Attempt, ending: ConnectionEnding) -> str:
        if ending is ConnectionEnding.READER_STALLED:
            return "the caller stopped reading"
        if ending is ConnectionEnding.TEXT_MISMATCH:
            return "another run gave other text than the caller has"
        if attempt.may_have_run and not self._request.idempotent:
            return "a non-idempotent request is not sent again"
        if self._delivered.is_incomparable:
            return "too much was delivered to continue from another run"
        if not self._context.crash_watch.may_retry(self._request):
            return "the same content has crashed engines"
        if len(self._result.attempts) >= self._context.settings.max_attempts:
            return "too many attempts"
        if self._context.clock.monotonic() >= self._deadline:
            return "the deadline has passed"
        if not self._context.retry_budget.try_withdraw():
            self._context.counters.retries_denied += 1
            return "too many requests are being retried"
        return ""

    def _with_combined_outcome(self, failed: Failed) -> Failed:
        """Return a failure with the combined outcome of all attempts."""
        return replace(failed, outcome=self._incomplete_outcome())

    def _incomplete_outcome(self) -> Outcome:
        """Return the outcome of a request whose answer is incomplete."""
        if any(attempt.may_have_run for attempt in self._result.attempts):
            return Unknown()
        proofs = {attempt.not_run_proof for attempt in self._result.attempts}
        if NotRunProof.REFUSED_BY_UPSTREAM in proofs:
            return NotRun(NotRunProof.REFUSED_BY_UPSTREAM)
        return NotRun(NotRunProof.NEVER_SENT)

    def _record_end(
        self, upstream: UpstreamSpec, attempt: Attempt, ending: Finished | ConnectionEnding
    ) -> None:
        """Record the tokens an attempt used; if unknown, cancel the run to learn them."""
        if isinstance(ending, Finished):
            attempt.tokens = ending.usage.total
            return
        attempt.not_run_proof = ending.not_run_proof
        if attempt.may_have_run:
            task = asyncio.create_task(self._cancel(upstream, attempt), name="cancel upstream")
            self._cancel_tasks.add(task)

    async def _cancel(self, upstream: UpstreamSpec, attempt: Attempt) -> None:
        self._context.counters.cancels += 1
        for call_number in range(1, MAX_CANCEL_CALLS + 1):
            try:
                attempt.tokens = await self._context.upstreams.cancel(
                    upstream,
                    self._request.request_id,
                    self._request.workspace,
                    attempt.sender.incarnation if attempt.sender else None,
                    attempt.number,
                )
                return
            except UpstreamError:
                await self._back_off(call_number)

    async def _finish_cancels(self) -> None:
        if not self._cancel_tasks:
            return
        timeout = self._context.settings.cancel_timeout_seconds
        _, unfinished = await asyncio.wait(self._cancel_tasks, timeout=timeout)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*self._cancel_tasks, return_exceptions=True)
        self._cancel_tasks.clear()

    async def _back_off(self, failures: int) -> None:
        settings = self._context.settings
        backoff = Backoff(
            self._context.rng,
            settings.min_backoff_seconds,
            settings.max_backoff_seconds,
            max(0, failures - 1),
        )
        await self._context.clock.sleep(backoff.next_delay_seconds())
