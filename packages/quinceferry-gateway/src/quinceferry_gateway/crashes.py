"""Detection of upstreams that crash while they run a request, and quarantine of its content.

Each gateway observes only the broken connections of its own requests. It reports to all peers which
requests an upstream had when it crashed, so that every gateway has the evidence of the whole fleet.
Digests carry the decisions.
"""

import asyncio
from collections.abc import Callable

import msgspec

from quinceferry_core.clocks import Clock
from quinceferry_core.common_causes import CommonCauses
from quinceferry_core.crash_records import RequestAtCrash
from quinceferry_core.quarantine import EVIDENCE_DELAY_SECONDS, Quarantine, RunStage
from quinceferry_gateway.answers import Reason, Refusal
from quinceferry_gateway.blackboard import Blackboard
from quinceferry_gateway.catalog import Upstream
from quinceferry_gateway.controllers import Controller
from quinceferry_gateway.fingerprints import MAX_TRAITS
from quinceferry_gateway.fleet.datagrams import DatagramPort
from quinceferry_gateway.logs import log
from quinceferry_gateway.metrics import Metrics
from quinceferry_gateway.progress import Progress
from quinceferry_gateway.stopped_upstreams import (
    MAX_UNDECIDED_SECONDS,
    StopMonitor,
    lifetime_of,
)

MAX_ID_CHARACTERS = 200
"""Longest identifier of a content or lifetime that is accepted from a peer."""

QuarantineListener = Callable[[str, float, bool], None]
"""Receives a content that this gateway quarantined, the seconds of the quarantine, and whether the
deciding evidence is its own."""


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="crash"):
    """An upstream crashed while it had a request.

    ``lifetime`` identifies the upstream and its start, ``traits`` what the request of the service
    may share with others. The connection broke ``age_seconds`` ago.
    """

    lifetime: str
    content: str
    stage: RunStage
    service: str = ""
    traits: tuple[str, ...] = ()
    age_seconds: float = 0.0


class CompletionReport(msgspec.Struct, frozen=True, array_like=True, tag="completed"):
    """Content and traits that were suspected have been answered; no content if it is not over."""

    content: str
    traits: tuple[str, ...] = ()


class CrashMonitor(Controller):
    """Collects evidence of crashes, shares it, and provides which content is in quarantine.

    ``on_quarantine_decided`` is called when evidence puts content into quarantine,
    ``on_quarantine_changed`` when anything does, including a digest of a peer.

    :param quarantine: decides on the evidence that this controller collects.
    :param stops: determines which upstreams have stopped.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        quarantine: Quarantine,
        port: DatagramPort,
        clock: Clock,
        metrics: Metrics,
        stops: StopMonitor,
    ) -> None:
        super().__init__()
        self._stops = stops
        self._blackboard = blackboard
        self._quarantine = quarantine
        self._causes = CommonCauses()
        self._port = port
        self._clock = clock
        self._metrics = metrics
        self._settling_lifetimes: set[str] = set()
        self.on_quarantine_decided: QuarantineListener = (
            lambda content, seconds, by_own_evidence: None
        )
        self.on_quarantine_changed: Callable[[], None] = lambda: None
        metrics.observe_quarantine(lambda: len(self.quarantined_seconds()))
        port.add_handler(CrashReport, self._handle_crash_report)
        port.add_handler(CompletionReport, self._handle_completion_report)

    def quarantine_refusal(self, progress: Progress) -> Refusal | None:
        """Return the answer to a request that is in quarantine and has not run, None if it may run.

        The status states that, and when it may run again. A status that rejects the request
        permanently would be wrong for a request that is not the cause, and once the upstreams are
        fixed.
        """
        seconds_by_name = self._quarantined_names(progress)
        if not seconds_by_name:
            return None
        name = max(seconds_by_name, key=lambda item: seconds_by_name[item])
        detail = f"content {name} crashed upstreams"
        return Refusal(Reason.QUARANTINED, detail, retry_seconds=seconds_by_name[name])

    def quarantine_seconds(self, progress: Progress) -> float:
        """Return how long a request stays in quarantine, zero if it may run."""
        return max(self._quarantined_names(progress).values(), default=0.0)

    def may_retry(self, progress: Progress) -> bool:
        """Return whether a request may be sent to another upstream after its connection broke.

        It may not if one more crash would put its content or a trait into quarantine: if that is
        the cause, the crash breaks all requests that run there, and if not, its caller can retry.
        """
        now = self._clock.monotonic()
        if not self._quarantine.is_empty and self._quarantine.next_crash_quarantines(
            progress.fingerprint, now
        ):
            return False
        return self._causes.is_empty or not self._causes.next_crash_decides(
            progress.traits, now, self._min_crashes
        )

    def request_completed(self, progress: Progress) -> None:
        """Record that a request was answered by an upstream that keeps running."""
        now = self._clock.monotonic()
        self._causes.record_answer(progress.service, progress.traits, now)
        content = ""
        if not self._quarantine.is_empty and self._quarantine.is_suspected(progress.fingerprint):
            content = progress.fingerprint
        self._report_completion(content, progress)

    def request_survived(self, progress: Progress) -> None:
        """Record that an upstream has produced output for a request for some time.

        The whole answer may still make it crash, but no trait does so as soon as it begins.
        """
        self._report_completion("", progress)

    async def connection_closed(
        self, progress: Progress, upstream: Upstream, stage: RunStage
    ) -> None:
        """Handle that an upstream closed the connection of a request before the end of its answer.

        Returns when it is known whether the upstream crashed. The crash is handled even if the
        caller disconnects in the meantime.
        """
        check = self.spawn(self._check_crash(progress, upstream, stage), "crash")
        await asyncio.shield(check)

    def add_quarantined(self, seconds_by_content: dict[str, float], origin: str) -> None:
        """Add quarantined contents from a peer or the store."""
        now = self._clock.monotonic()
        new_contents = [
            content
            for content, seconds in seconds_by_content.items()
            if len(content) <= MAX_ID_CHARACTERS and self._quarantine.adopt(content, seconds, now)
        ]
        for content in new_contents:
            self._log_quarantine(content, origin)
        if new_contents:
            self.on_quarantine_changed()

    def quarantined_seconds(self) -> dict[str, int]:
        """Return the quarantined contents with their remaining whole seconds, for a digest.

        The seconds are rounded down, so that an entry expires even if gateways keep sending it to
        each other.
        """
        seconds_by_content = self._quarantine.remaining_seconds_by_content(self._clock.monotonic())
        return {
            content: int(remaining)
            for content, remaining in seconds_by_content.items()
            if remaining >= 1
        }

    async def _check_crash(self, progress: Progress, upstream: Upstream, stage: RunStage) -> None:
        """Check whether an upstream crashed, and record and report the request that it had.

        A case in which this gateway can't tell yet is decided in the background.
        """
        closed_at = self._clock.monotonic()
        has_stopped = await self._stops.has_stopped(upstream)
        if has_stopped:
            self._report_crash(progress, upstream, stage, closed_at)
        elif has_stopped is None:
            log.change("crash.undecided", upstream=upstream.id, request=progress.call.request_id)
            self.spawn(self._decide_later(progress, upstream, stage, closed_at), "undecided crash")

    async def _decide_later(
        self, progress: Progress, upstream: Upstream, stage: RunStage, closed_at: float
    ) -> None:
        """Report the request that an upstream had once it is known to have crashed."""
        if await self._stops.await_decision(upstream):
            self._report_crash(progress, upstream, stage, closed_at)

    def _report_crash(
        self, progress: Progress, upstream: Upstream, stage: RunStage, closed_at: float
    ) -> None:
        """Record and report the request that an upstream had when it crashed."""
        age_seconds = self._clock.monotonic() - closed_at
        report = CrashReport(
            lifetime_of(upstream),
            progress.fingerprint,
            stage,
            progress.service,
            progress.traits,
            age_seconds,
        )
        log.change(
            "upstream.crashed",
            upstream=upstream.id,
            request=progress.call.request_id,
            content=progress.fingerprint,
            stage=stage.name.lower(),
            traits=progress.traits,
            age_seconds=round(age_seconds, 3),
        )
        self._send_to_peers(report)
        self._causes.record_interruption(progress.service, progress.traits, self._clock.monotonic())
        self._record_crash(report, "own", by_own_evidence=True)

    def _handle_crash_report(self, report: CrashReport, sender: object) -> None:
        """Add the evidence of a peer."""
        names = (report.content, report.lifetime, report.service, *report.traits)
        if max(map(len, names)) > MAX_ID_CHARACTERS:
            log.failure("crash.malformed", peer=str(sender))
            return
        self._stops.record_stopped(report.lifetime)
        self._record_crash(report, str(sender))

    def _record_crash(
        self, report: CrashReport, origin: str, by_own_evidence: bool = False
    ) -> None:
        """Add evidence, and quarantine the content if the evidence suffices."""
        now = self._clock.monotonic()
        if report.lifetime not in self._settling_lifetimes:
            self._settling_lifetimes.add(report.lifetime)
            self.spawn(self._settle_evidence(report.lifetime), "crash evidence")
        request = RequestAtCrash(report.content, report.stage, report.traits[:MAX_TRAITS])
        crashed_at = now - min(max(report.age_seconds, 0.0), MAX_UNDECIDED_SECONDS)
        self._causes.record_crash(report.lifetime, report.service, request, crashed_at)
        if self._quarantine.record_crash(report.lifetime, report.content, report.stage, now):
            self._announce_quarantine(report.content, origin, by_own_evidence)

    async def _settle_evidence(self, lifetime: str) -> None:
        """Decide on a crash again once the reports of all peers must have arrived."""
        await self._clock.sleep(EVIDENCE_DELAY_SECONDS)
        self._settling_lifetimes.discard(lifetime)
        now = self._clock.monotonic()
        for content in self._quarantine.evaluate_crash(lifetime, now):
            self._announce_quarantine(content, "settled", by_own_evidence=False)
        quarantined = self._quarantine.remaining_seconds_by_content(now)
        for trait in self._causes.find_causes(now, quarantined, self._min_crashes):
            self._quarantine.impose(trait, now)
            self._announce_quarantine(trait, "settled", by_own_evidence=False)

    def _announce_quarantine(self, content: str, origin: str, by_own_evidence: bool) -> None:
        """Log that content is in quarantine and notify the listeners."""
        self._log_quarantine(content, origin)
        seconds = self._quarantine.remaining_seconds(content, self._clock.monotonic())
        self.on_quarantine_decided(content, seconds, by_own_evidence)
        self.on_quarantine_changed()

    def _handle_completion_report(self, report: CompletionReport, sender: object) -> None:
        """Record that content was answered; quarantine any other that the crashes now point to."""
        self._causes.clear(report.traits)
        if not report.content:
            return
        for content in self._quarantine.record_completion(report.content, self._clock.monotonic()):
            self._announce_quarantine(content, str(sender), by_own_evidence=False)

    def _log_quarantine(self, content: str, origin: str) -> None:
        """Log that content is in quarantine, with the known crashes that are attributed to it."""
        now = self._clock.monotonic()
        log.change(
            "quarantine.began",
            content=content,
            origin=origin,
            seconds=round(self._quarantine.remaining_seconds(content, now), 1),
            crashed=self._quarantine.attributed_crashes(content, now)
            or self._causes.crashed_lifetimes(content),
        )

    def _report_completion(self, content: str, progress: Progress) -> None:
        """Clear suspected content, if it is not empty, and suspected traits at all gateways."""
        traits: tuple[str, ...] = ()
        if not self._causes.is_empty:
            traits = tuple(item for item in progress.traits if self._causes.is_suspected(item))
        if not content and not traits:
            return
        report = CompletionReport(content, traits)
        self._handle_completion_report(report, "own")
        self._send_to_peers(report)

    def _quarantined_names(self, progress: Progress) -> dict[str, float]:
        """Return the remaining seconds of the request's content and traits in quarantine."""
        if self._quarantine.is_empty:
            return {}
        now = self._clock.monotonic()
        names = (progress.fingerprint, *progress.traits)
        seconds_by_name = {name: self._quarantine.remaining_seconds(name, now) for name in names}
        return {name: seconds for name, seconds in seconds_by_name.items() if seconds}

    def _min_crashes(self, trait: str) -> int:
        """Return the number of crashes after which a trait counts as their cause."""
        return self._quarantine.min_crashes(trait, self._clock.monotonic())

    def _send_to_peers(self, message: msgspec.Struct) -> None:
        """Send a message to all peers, including unreachable ones."""
        self._port.send(message, [peer.peer_address for peer in self._blackboard.peers()])
