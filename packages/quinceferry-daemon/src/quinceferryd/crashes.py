"""Quarantine of content that crashes the engines that run it.

The requests of one workspace reach few routers, so the router to which a caller returns observes
the crashes itself. It publishes the quarantines it decides in its heartbeat record, which all other
routers read.
"""

from datetime import timedelta

import structlog

from quinceferry_core.clocks import Clock
from quinceferry_core.common_causes import CommonCauses
from quinceferry_core.crash_records import RequestAtCrash
from quinceferry_core.membership import QuarantinedContent
from quinceferry_core.models import CallerRequest, UpstreamId
from quinceferry_core.outcomes import Failed
from quinceferry_core.prefixes import prefix_hashes
from quinceferry_core.quarantine import EVIDENCE_DELAY_SECONDS, Quarantine, RunStage
from quinceferryd.blackboard import Blackboard
from quinceferryd.controllers import TaskGroupController
from quinceferryd.fingerprints import fingerprint
from quinceferryd.refusals import quarantine_refusal

CRASHES_TO_QUARANTINE = 3
"""Number of engine crashes after which content is quarantined."""
QUARANTINE_SECONDS = 600.0
"""Duration of the first quarantine of a content."""
MAX_TRAITS = 32
"""Most beginnings of one prompt that are kept, 8,192 characters."""
EXCHANGE_INTERVAL_SECONDS = 1.0
"""Interval at which other routers' records are read; they are written every few seconds."""

_log = structlog.get_logger()


class CrashWatch(TaskGroupController):
    """Decides which content is quarantined and must not be run.

    :param blackboard: holds the heartbeat records of other routers, and this router's quarantines
        for its own record.
    """

    def __init__(self, blackboard: Blackboard, clock: Clock) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._clock = clock
        self._quarantine = Quarantine(CRASHES_TO_QUARANTINE, QUARANTINE_SECONDS)
        self._causes = CommonCauses()

    async def start(self) -> None:
        """Start to exchange quarantines with other routers."""
        self.spawn(self._exchange_forever(), "quarantine")

    def refusal(self, request: CallerRequest) -> Failed | None:
        """Return the refusal of a request with quarantined content, or None if it may run."""
        if self._quarantine.is_empty:
            return None
        now = self._clock.monotonic()
        remaining_seconds = max(
            self._quarantine.remaining_seconds(name, now)
            for name in (_content_key(request), *_traits(request))
        )
        return quarantine_refusal(remaining_seconds) if remaining_seconds else None

    async def refusal_after_settling(self, request: CallerRequest) -> Failed | None:
        """Return the refusal after waiting for crash evidence that may still arrive.

        The wait is skipped unless the pending evidence could quarantine the content.
        """
        refusal = self.refusal(request)
        if refusal is not None or self._quarantine.is_empty:
            return refusal
        settled_at = self._clock.monotonic() + EVIDENCE_DELAY_SECONDS
        if (
            len(self._quarantine.attributed_crashes(_content_key(request), settled_at))
            >= CRASHES_TO_QUARANTINE
        ):
            await self._clock.sleep(EVIDENCE_DELAY_SECONDS)
        return self.refusal(request)

    def may_retry(self, request: CallerRequest) -> bool:
        """Return whether an interrupted request may run at another engine."""
        now = self._clock.monotonic()
        if self._quarantine.is_empty:
            return True
        if self._quarantine.next_crash_quarantines(_content_key(request), now):
            return False
        return not self._causes.next_crash_decides(_traits(request), now, self._min_crashes)

    def record_completion(self, request: CallerRequest) -> None:
        """Record that a request was answered completely."""
        traits = _traits(request)
        self._causes.record_answer(str(request.target), traits, self._clock.monotonic())
        self._causes.clear(traits)
        if not self._quarantine.is_empty:
            self._announce(
                self._quarantine.record_completion(_content_key(request), self._clock.monotonic())
            )

    def record_crash(self, request: CallerRequest, upstream: UpstreamId, has_output: bool) -> None:
        """Record that an engine crashed while it was running a request.

        :param has_output: whether the run had produced output.
        """
        stage = RunStage.PRODUCING if has_output else RunStage.SENT
        # A crashed engine sends no reports, so the time of its last report identifies its lifetime.
        status = self._blackboard.upstreams_by_id.get(upstream)
        lifetime = f"{upstream}@{status.reported_at if status else 0.0}"
        content = _content_key(request)
        _log.warning("engine crashed", upstream=upstream, content=content, stage=stage.name.lower())
        now = self._clock.monotonic()
        traits, service = _traits(request), str(request.target)
        at_crash = RequestAtCrash(content, stage, traits)
        self._causes.record_crash(lifetime, service, at_crash, now)
        self._causes.record_interruption(service, traits, now)
        if self._quarantine.record_crash(lifetime, content, stage, now):
            self._announce([content])
        self.spawn(self._evaluate_evidence(lifetime), "crash evidence")

    async def _evaluate_evidence(self, lifetime: str) -> None:
        """Evaluate a crash after the engine's other requests have been interrupted as well."""
        await self._clock.sleep(EVIDENCE_DELAY_SECONDS)
        now = self._clock.monotonic()
        self._announce(self._quarantine.evaluate_crash(lifetime, now))
        quarantined = self._quarantine.remaining_seconds_by_content(now)
        causes = self._causes.find_causes(now, quarantined, self._min_crashes)
        self._announce([cause for cause in causes if self._quarantine.impose(cause, now)])

    def _announce(self, quarantined: list[str]) -> None:
        """Publish the quarantines decided here in this router's heartbeat record."""
        now = self._clock.monotonic()
        for content in quarantined:
            seconds = self._quarantine.remaining_seconds(content, now)
            crashed = self._quarantine.attributed_crashes(
                content, now
            ) or self._causes.crashed_lifetimes(content)
            _log.warning("content quarantined", content=content, seconds=seconds, crashed=crashed)
            ends_at = self._clock.now() + timedelta(seconds=seconds)
            self._blackboard.quarantined += (QuarantinedContent(content, ends_at),)

    def _min_crashes(self, trait: str) -> int:
        """Return the number of crashes after which a trait counts as their cause."""
        return self._quarantine.min_crashes(trait, self._clock.monotonic())

    async def _exchange_forever(self) -> None:
        """Apply other routers' quarantines and remove expired ones from this router's record."""
        while True:
            await self._clock.sleep(EXCHANGE_INTERVAL_SECONDS)
            self.apply_member_quarantines()
            now = self._clock.now()
            announced = self._blackboard.quarantined
            if any(item.ends_at <= now for item in announced):
                self._blackboard.quarantined = tuple(
                    item for item in announced if item.ends_at > now
                )

    def apply_member_quarantines(self) -> None:
        """Apply the quarantines in the heartbeat records of other routers."""
        now, monotonic_now = self._clock.now(), self._clock.monotonic()
        for member in self._blackboard.members_by_incarnation.values():
            for item in member.quarantined:
                remaining_seconds = (item.ends_at - now).total_seconds()
                if self._quarantine.adopt(item.content, remaining_seconds, monotonic_now):
                    _log.warning(
                        "content quarantined", content=item.content, origin=member.incarnation
                    )


def _content_key(request: CallerRequest) -> str:
    """Return the key of a request's content.

    It contains the workspace, so that no workspace can quarantine the content of another.
    """
    return f"{request.workspace}/{fingerprint(request).hex()}"


def _traits(request: CallerRequest) -> tuple[str, ...]:
    """Return the keys of the beginnings of a prompt, which others may share, shortest first."""
    hashes = prefix_hashes(request.target, request.prompt)[:MAX_TRAITS]
    return tuple(f"{request.workspace}/prefix-{item:016x}" for item in hashes)
