"""Which content crashes the upstreams that run it, and is not to be run.

The load: one request makes every upstream that begins to run it crash, and its caller sends it
again and again, each time with a new identifier and to any router. Each crash breaks all requests
that the upstream works on, and their callers repeat them, so that the broken requests are many and
nearly all of them innocent.

What tells the culprit is that the same content is there at each crash, and how far it had come: a
run that had begun and produced nothing is a likelier cause than one that may still have waited, and
one that had produced output is the least likely. At each crash only the likeliest ones count, which
is known once all routers have told what they had there. Any answer clears its content. Where
upstreams crash by themselves all the time, some innocent content is there three times by chance, so
that more crashes are asked for then.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import IntEnum

EVIDENCE_SECONDS = 600.0
"""How long a crash counts."""
EXTRA_BYSTANDER_CRASHES = 2
"""Crashes beyond the limit after which content counts as a cause though there was a likelier one
at each: whoever is there so often without one answer is no bystander."""
EVIDENCE_DELAY_SECONDS = 0.5
"""Time after a crash in which evidence of it still comes from other routers: the check of whether
the upstream is gone takes 0.3 s at most, and a message some milliseconds."""
RECENT_CRASH_SECONDS = 20.0
"""How long ago crashes without some content still speak for chance."""
MAX_EXTRA_CRASHES = 2
"""Most crashes beyond the limit that are asked for while upstreams crash by themselves: with five
crashes no request is blamed that its router and its caller send four times in all."""
MAX_QUARANTINE_SECONDS = 4 * 3600.0
"""Longest quarantine; each one that follows on another is twice as long."""
MAX_CRASHES = 128
MAX_CONTENTS_PER_CRASH = 512
MAX_QUARANTINED_CONTENTS = 256
"""Bounds of what is remembered; the oldest goes first."""


class RunStage(IntEnum):
    """How far a request is known to have come at an upstream."""

    SENT = 0
    BEGUN = 1
    PRODUCING = 2


_SUSPICION_BY_STAGE = {RunStage.PRODUCING: 0, RunStage.SENT: 1, RunStage.BEGUN: 2}


@dataclass(slots=True)
class _Crash:
    """The end of one lifetime of an upstream, and the contents that ran there.

    ``max_suspicion`` is the highest suspicion among them.
    """

    crashed_at: float
    stages_by_content: dict[str, RunStage] = field(default_factory=dict)
    max_suspicion: int = 0

    def add(self, content: str, stage: RunStage) -> None:
        """Note that content ran there; the more suspicious word of the same one holds."""
        known = self.stages_by_content.get(content)
        if known is not None and _SUSPICION_BY_STAGE[known] >= _SUSPICION_BY_STAGE[stage]:
            return
        self.stages_by_content[content] = stage
        self.max_suspicion = max(self.max_suspicion, _SUSPICION_BY_STAGE[stage])

    def remove(self, content: str) -> None:
        """Leave out content that did not cause it."""
        del self.stages_by_content[content]
        suspicions = (_SUSPICION_BY_STAGE[stage] for stage in self.stages_by_content.values())
        self.max_suspicion = max(suspicions, default=0)

    def is_likely_cause(self, content: str, now: float) -> bool:
        """Tell whether no other content is a likelier cause.

        Whether there is one is open for a moment, unless the content is as likely as any can be.
        """
        stage = self.stages_by_content[content]
        if stage is RunStage.BEGUN:
            return True
        return (
            _SUSPICION_BY_STAGE[stage] == self.max_suspicion
            and now >= self.crashed_at + EVIDENCE_DELAY_SECONDS
        )

    def is_possible_cause(self, content: str) -> bool:
        """Tell whether the content may have caused it at all."""
        return self.stages_by_content[content] is not RunStage.PRODUCING


@dataclass(slots=True, frozen=True)
class _QuarantineEntry:
    """A quarantine of some length; as long again after its end, one crash begins the next."""

    ends_at: float
    seconds: float

    def has_lapsed(self, now: float) -> bool:
        """Tell whether nothing is left of it."""
        return now >= self.ends_at + self.seconds


class Quarantine:
    """Collects evidence of crashes and tells which content is not to be run.

    Content is named by fingerprints. All times are those of the steady clock, in seconds.

    :param crashes_to_quarantine: upstreams that content has crashed when it is put into quarantine.
    :param initial_seconds: how long the first quarantine lasts.
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
        """Tell whether nothing at all is remembered, so that no content needs to be named."""
        return not self._crashes_by_lifetime and not self._quarantine_by_content

    def record_crash(self, lifetime: str, content: str, stage: RunStage, now: float) -> bool:
        """Note that an upstream crashed while it had a request.

        :param lifetime: names one lifetime of one upstream.
        :return: whether the content is in quarantine since this.
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
        """Draw conclusions once all evidence of a crash must be here.

        :return: contents in quarantine since this.
        """
        crash = self._crashes_by_lifetime.get(lifetime)
        contents = sorted(crash.stages_by_content) if crash is not None else []
        return [content for content in contents if self._evaluate(content, now)]

    def record_completion(self, content: str, now: float) -> list[str]:
        """Note that content was answered, which clears it, also of an earlier quarantine.

        :return: contents in quarantine since this, as no other is left that explains the crashes.
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
        """Tell whether the content was there at a crash, or was in quarantine before."""
        return content in self._lifetimes_by_content or content in self._quarantine_by_content

    def attributed_crashes(self, content: str, now: float) -> list[str]:
        """Return the lifetimes of upstreams that the content has likely crashed."""
        return [
            lifetime
            for lifetime in self._counted_crashes(content, now)
            if self._crashes_by_lifetime[lifetime].is_likely_cause(content, now)
        ]

    def next_crash_quarantines(self, content: str, now: float) -> bool:
        """Tell whether one more crash puts the content into quarantine, or it is there already."""
        return len(self.attributed_crashes(content, now)) + 1 >= self._required_crashes(
            content, now
        )

    def remaining_seconds(self, content: str, now: float) -> float:
        """Return how long the content stays in quarantine, zero if it may run."""
        entry = self._quarantine_by_content.get(content)
        return 0.0 if entry is None else max(0.0, entry.ends_at - now)

    def adopt(self, content: str, seconds: float, now: float) -> bool:
        """Take from another router that content is in quarantine; tell whether that is news."""
        if seconds <= 0 or self.remaining_seconds(content, now):
            return False
        self._start_quarantine(content, min(seconds, MAX_QUARANTINE_SECONDS), now)
        return True

    def remaining_seconds_by_content(self, now: float) -> dict[str, float]:
        """Return all contents in quarantine and for how long."""
        return {
            content: entry.ends_at - now
            for content, entry in self._quarantine_by_content.items()
            if entry.ends_at > now
        }

    def _evaluate(self, content: str, now: float) -> bool:
        """Put content into quarantine if the evidence is enough; tell whether that is news."""
        if self.remaining_seconds(content, now):
            return False
        counted = self._counted_crashes(content, now)
        least = self._min_crashes(content, now)
        if len(counted) < least:
            return False
        involved = sum(self._crashes_by_lifetime[key].is_possible_cause(content) for key in counted)
        is_bystander = involved < least + EXTRA_BYSTANDER_CRASHES
        if is_bystander and len(self.attributed_crashes(content, now)) < self._required_crashes(
            content, now
        ):
            return False
        before = self._quarantine_by_content.get(content)
        seconds = self._initial_seconds if before is None else 2 * before.seconds
        self._start_quarantine(content, min(seconds, MAX_QUARANTINE_SECONDS), now)
        return True

    def _start_quarantine(self, content: str, seconds: float, now: float) -> None:
        """Put content into quarantine."""
        while (
            len(self._quarantine_by_content) >= MAX_QUARANTINED_CONTENTS
            and content not in self._quarantine_by_content
        ):
            del self._quarantine_by_content[next(iter(self._quarantine_by_content))]
        # Word from another router names what is left of a quarantine, not its whole length.
        length = max(seconds, self._initial_seconds)
        self._quarantine_by_content[content] = _QuarantineEntry(now + seconds, length)

    def _min_crashes(self, content: str, now: float) -> int:
        """Return how many crashes are enough at least; one after an earlier quarantine."""
        entry = self._quarantine_by_content.get(content)
        return self._crashes_to_quarantine if entry is None or entry.has_lapsed(now) else 1

    def _required_crashes(self, content: str, now: float) -> int:
        """Return how many crashes are enough, more while upstreams crash without the content."""
        least = self._min_crashes(content, now)
        if least < self._crashes_to_quarantine:
            return least
        without = sum(
            now - crash.crashed_at < RECENT_CRASH_SECONDS and content not in crash.stages_by_content
            for crash in self._crashes_by_lifetime.values()
        )
        return least + min(MAX_EXTRA_CRASHES, without // self._crashes_to_quarantine)

    def _counted_crashes(self, content: str, now: float) -> list[str]:
        """Return the crashes of content that count: an earlier quarantine was for those before."""
        entry = self._quarantine_by_content.get(content)
        since = now - EVIDENCE_SECONDS
        if entry is not None and entry.ends_at <= now:
            since = max(since, entry.ends_at)
        lifetimes = self._lifetimes_by_content.get(content, ())
        return sorted(
            key for key in lifetimes if self._crashes_by_lifetime[key].crashed_at >= since
        )

    def _remove_expired(self, now: float) -> None:
        """Drop what is too old, and the oldest crash where there is no room for another."""
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
        """Drop a crash."""
        del self._crashes_by_lifetime[lifetime]
        for content in crash.stages_by_content:
            lifetimes = self._lifetimes_by_content[content]
            lifetimes.discard(lifetime)
            if not lifetimes:
                del self._lifetimes_by_content[content]
