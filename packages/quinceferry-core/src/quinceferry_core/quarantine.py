"""Detection and quarantine of request content that crashes the upstreams that run it.

One request crashes every upstream that begins to run it, and its caller repeats it, each time with
a new identifier and through any router. Each crash interrupts all requests in progress on the
upstream, and their callers repeat them, so that nearly all of the many interrupted requests are not
the cause.

The cause is identified by its presence at each crash and by its progress there: a run that had
begun without producing output is a more likely cause than one that may still have been waiting, and
one that had produced output is the least likely. At each crash only the most likely contents count,
which are known once all routers have reported their requests. Any complete answer clears its
content. Where upstreams often crash by themselves, some other content is present at three crashes
by chance, so that more crashes are required then.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import IntEnum

EVIDENCE_SECONDS = 600.0
"""How long a crash counts as evidence."""
EXTRA_BYSTANDER_CRASHES = 2
"""Crashes beyond the minimum after which content counts as the cause even if other content was more
likely at each crash: content present so often without one answer is not there by chance."""
EVIDENCE_DELAY_SECONDS = 0.5
"""Time after a crash in which other routers still report evidence of it: their check whether the
upstream has terminated takes at most 0.3 s, and a message some milliseconds."""
RECENT_CRASH_SECONDS = 20.0
"""How long a crash without some content counts as a sign that upstreams crash by themselves."""
MAX_EXTRA_CRASHES = 2
"""Maximum number of additional crashes that are required while upstreams crash by themselves: with
five crashes, no request is quarantined that its router and its caller send four times in total."""
MAX_QUARANTINE_SECONDS = 4 * 3600.0
"""Longest quarantine; each repeated quarantine lasts twice as long as the one before."""
MAX_CRASHES = 128
MAX_CONTENTS_PER_CRASH = 512
MAX_QUARANTINED_CONTENTS = 256
"""Limits of the retained state; the oldest entries are removed first."""


class RunStage(IntEnum):
    """Known progress of a request on an upstream."""

    SENT = 0
    BEGUN = 1
    PRODUCING = 2


_SUSPICION_BY_STAGE = {RunStage.PRODUCING: 0, RunStage.SENT: 1, RunStage.BEGUN: 2}


def suspicion(stage: RunStage) -> int:
    """Return how likely a request at a stage is the cause of a crash; zero if it is not."""
    return _SUSPICION_BY_STAGE[stage]


@dataclass(slots=True)
class _Crash:
    """The crash of an upstream, which ends one of its lifetimes, and the contents present.

    ``max_suspicion`` is the highest suspicion among the contents.
    """

    crashed_at: float
    stages_by_content: dict[str, RunStage] = field(default_factory=dict)
    max_suspicion: int = 0

    def add(self, content: str, stage: RunStage) -> None:
        """Record content that was present; its most suspicious stage counts."""
        known = self.stages_by_content.get(content)
        if known is not None and _SUSPICION_BY_STAGE[known] >= _SUSPICION_BY_STAGE[stage]:
            return
        self.stages_by_content[content] = stage
        self.max_suspicion = max(self.max_suspicion, _SUSPICION_BY_STAGE[stage])

    def remove(self, content: str) -> None:
        """Remove content that did not cause the crash."""
        del self.stages_by_content[content]
        suspicions = (_SUSPICION_BY_STAGE[stage] for stage in self.stages_by_content.values())
        self.max_suspicion = max(suspicions, default=0)

    def is_likely_cause(self, content: str, now: float) -> bool:
        """Return whether no other content is a more likely cause.

        Until all evidence has arrived, this is known only for content of the highest suspicion.
        """
        stage = self.stages_by_content[content]
        if stage is RunStage.BEGUN:
            return True
        return (
            _SUSPICION_BY_STAGE[stage] == self.max_suspicion
            and now >= self.crashed_at + EVIDENCE_DELAY_SECONDS
        )

    def is_possible_cause(self, content: str) -> bool:
        """Return whether the content can have caused the crash."""
        return self.stages_by_content[content] is not RunStage.PRODUCING


@dataclass(slots=True, frozen=True)
class _QuarantineEntry:
    """The quarantine of one content.

    For as long again after its end, a single crash starts the next quarantine.
    """

    ends_at: float
    seconds: float

    def has_lapsed(self, now: float) -> bool:
        """Return whether the time in which a single crash suffices has passed, too."""
        return now >= self.ends_at + self.seconds


class Quarantine:
    """Collects evidence of crashes and decides which content must not run.

    Content is identified by fingerprints. All times are in seconds of the monotonic clock.

    :param crashes_to_quarantine: number of crashes after which content is quarantined.
    :param initial_seconds: duration of the first quarantine.
    """

    __slots__ = (
        "_crashes_to_quarantine",
        "_crashes_by_lifetime",
        "_initial_seconds",
        "_quarantine_by_content",
        "_lifetimes_by_content",
    )

    def __init__(self, crashes_to_quarantine: int, initial_seconds: float) -> None:
        self._crashes_to_quarantine = crashes_to_quarantine
        self._initial_seconds = initial_seconds
        self._crashes_by_lifetime: dict[str, _Crash] = {}
        self._lifetimes_by_content: defaultdict[str, set[str]] = defaultdict(set)
        self._quarantine_by_content: dict[str, _QuarantineEntry] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether there is no state, so that no fingerprint needs to be computed."""
        return not self._crashes_by_lifetime and not self._quarantine_by_content

    def record_crash(self, lifetime: str, content: str, stage: RunStage, now: float) -> bool:
        """Record that an upstream crashed while it had a request.

        :param lifetime: identifies one lifetime of one upstream.
        :return: whether the content was quarantined by this call.
        """
        crash = self._crashes_by_lifetime.get(lifetime)
        if crash is None:
            self._remove_expired(now)
            crash = self._crashes_by_lifetime[lifetime] = _Crash(now)
        full = len(crash.stages_by_content) >= MAX_CONTENTS_PER_CRASH
        if full and content not in crash.stages_by_content:
            return False
        crash.add(content, stage)
        self._lifetimes_by_content[content].add(lifetime)
        return self._evaluate(content, now)

    def evaluate_crash(self, lifetime: str, now: float) -> list[str]:
        """Evaluate a crash once all evidence of it must have arrived.

        :return: contents quarantined by this call.
        """
        crash = self._crashes_by_lifetime.get(lifetime)
        contents = sorted(crash.stages_by_content) if crash is not None else []
        return [content for content in contents if self._evaluate(content, now)]

    def record_completion(self, content: str, now: float) -> list[str]:
        """Record a complete answer, which clears its content, including past quarantines.

        :return: contents quarantined by this call, because they remain as the only explanation of
            the crashes.
        """
        if content in self._quarantine_by_content and not self.remaining_seconds(content, now):
            del self._quarantine_by_content[content]
        others: set[str] = set()
        for lifetime in self._lifetimes_by_content.pop(content, ()):
            crash = self._crashes_by_lifetime[lifetime]
            crash.remove(content)
            others.update(crash.stages_by_content)
        return [other for other in sorted(others) if self._evaluate(other, now)]

    def is_suspected(self, content: str) -> bool:
        """Return whether the content was present at a crash or has been quarantined before."""
        return content in self._lifetimes_by_content or content in self._quarantine_by_content

    def attributed_crashes(self, content: str, now: float) -> list[str]:
        """Return the upstream lifetimes whose crash the content most likely caused."""
        return [
            lifetime
            for lifetime in self._counted_crashes(content, now)
            if self._crashes_by_lifetime[lifetime].is_likely_cause(content, now)
        ]

    def next_crash_quarantines(self, content: str, now: float) -> bool:
        """Return whether the content is quarantined or one more crash would quarantine it."""
        return len(self.attributed_crashes(content, now)) + 1 >= self._required_crashes(
            content, now
        )

    def remaining_seconds(self, content: str, now: float) -> float:
        """Return the remaining seconds of the content's quarantine; zero if it may run."""
        entry = self._quarantine_by_content.get(content)
        return 0.0 if entry is None else max(0.0, entry.ends_at - now)

    def adopt(self, content: str, seconds: float, now: float) -> bool:
        """Adopt a quarantine reported by another router; return whether it is new."""
        if seconds <= 0 or self.remaining_seconds(content, now):
            return False
        self._start_quarantine(content, min(seconds, MAX_QUARANTINE_SECONDS), now)
        return True

    def impose(self, content: str, now: float) -> bool:
        """Quarantine content, for twice as long as the last time; return whether that is new.

        A trait that several contents have in common is quarantined under its own name.
        """
        if self.remaining_seconds(content, now):
            return False
        previous = self._quarantine_by_content.get(content)
        seconds = self._initial_seconds if previous is None else 2 * previous.seconds
        self._start_quarantine(content, min(seconds, MAX_QUARANTINE_SECONDS), now)
        return True

    def min_crashes(self, content: str, now: float) -> int:
        """Return the minimum number of crashes; one after an earlier quarantine."""
        entry = self._quarantine_by_content.get(content)
        return self._crashes_to_quarantine if entry is None or entry.has_lapsed(now) else 1

    def remaining_seconds_by_content(self, now: float) -> dict[str, float]:
        """Return all quarantined contents with their remaining seconds."""
        return {
            content: entry.ends_at - now
            for content, entry in self._quarantine_by_content.items()
            if entry.ends_at > now
        }

    def _evaluate(self, content: str, now: float) -> bool:
        """Quarantine content if the evidence suffices; return whether that is new."""
        if self.remaining_seconds(content, now):
            return False
        counted = self._counted_crashes(content, now)
        minimum = self.min_crashes(content, now)
        if len(counted) < minimum:
            return False
        possible = sum(self._crashes_by_lifetime[key].is_possible_cause(content) for key in counted)
        is_bystander = possible < minimum + EXTRA_BYSTANDER_CRASHES
        if is_bystander and len(self.attributed_crashes(content, now)) < self._required_crashes(
            content, now
        ):
            return False
        return self.impose(content, now)

    def _start_quarantine(self, content: str, seconds: float, now: float) -> None:
        """Quarantine content for some seconds."""
        while (
            len(self._quarantine_by_content) >= MAX_QUARANTINED_CONTENTS
            and content not in self._quarantine_by_content
        ):
            del self._quarantine_by_content[next(iter(self._quarantine_by_content))]
        # Another router reports the remaining time of a quarantine, not its full duration.
        length = max(seconds, self._initial_seconds)
        self._quarantine_by_content[content] = _QuarantineEntry(now + seconds, length)

    def _required_crashes(self, content: str, now: float) -> int:
        """Return the required number of crashes, more while upstreams crash without the content."""
        minimum = self.min_crashes(content, now)
        if minimum < self._crashes_to_quarantine:
            return minimum
        crashes_without = sum(
            now - crash.crashed_at < RECENT_CRASH_SECONDS and content not in crash.stages_by_content
            for crash in self._crashes_by_lifetime.values()
        )
        return minimum + min(MAX_EXTRA_CRASHES, crashes_without // self._crashes_to_quarantine)

    def _counted_crashes(self, content: str, now: float) -> list[str]:
        """Return the crashes of content that count, which excludes those before its quarantine."""
        entry = self._quarantine_by_content.get(content)
        since = now - EVIDENCE_SECONDS
        if entry is not None and entry.ends_at <= now:
            since = max(since, entry.ends_at)
        lifetimes = self._lifetimes_by_content.get(content, ())
        return sorted(
            key for key in lifetimes if self._crashes_by_lifetime[key].crashed_at >= since
        )

    def _remove_expired(self, now: float) -> None:
        """Remove expired state, and the oldest crash if the limit leaves no room for another."""
        oldest_first = list(self._crashes_by_lifetime.items())
        surplus = len(oldest_first) - MAX_CRASHES + 1
        for number, (lifetime, crash) in enumerate(oldest_first):
            if number < surplus or now - crash.crashed_at > EVIDENCE_SECONDS:
                self._remove_crash(lifetime, crash)
        for content in [
            key for key, entry in self._quarantine_by_content.items() if entry.has_lapsed(now)
        ]:
            del self._quarantine_by_content[content]

    def _remove_crash(self, lifetime: str, crash: _Crash) -> None:
        """Remove a crash."""
        del self._crashes_by_lifetime[lifetime]
        for content in crash.stages_by_content:
            lifetimes = self._lifetimes_by_content[content]
            lifetimes.discard(lifetime)
            if not lifetimes:
                del self._lifetimes_by_content[content]
