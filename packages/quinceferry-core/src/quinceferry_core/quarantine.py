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
MORE_AS_BYSTANDER = 2
"""Crashes beyond the limit after which content counts as a cause though there was a likelier one
at each: whoever is there so often without one answer is no bystander."""
SETTLE_SECONDS = 0.5
"""Time after a crash in which evidence of it still comes from other routers: the check of whether
the upstream is gone takes 0.3 s at most, and a message some milliseconds."""
RECENT_SECONDS = 20.0
"""How long ago crashes without some content still speak for chance."""
MAX_MORE_BY_CHANCE = 2
"""Most crashes beyond the limit that are asked for while upstreams crash by themselves: with five
crashes no request is blamed that its router and its caller send four times in all."""
MAX_HOLD_SECONDS = 4 * 3600.0
"""Longest quarantine; each one that follows on another is twice as long."""
MAX_CRASHES = 128
MAX_RUNS_OF_CRASH = 512
MAX_HOLDS = 256
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

    ``likeliest`` is the highest suspicion among them.
    """

    at: float
    stages_by_content: dict[str, RunStage] = field(default_factory=dict)
    likeliest: int = 0

    def add(self, content: str, stage: RunStage) -> None:
        """Note that content ran there; the more suspicious word of the same one holds."""
        known = self.stages_by_content.get(content)
        if known is not None and _SUSPICION_BY_STAGE[known] >= _SUSPICION_BY_STAGE[stage]:
            return
        self.stages_by_content[content] = stage
        self.likeliest = max(self.likeliest, _SUSPICION_BY_STAGE[stage])

    def remove(self, content: str) -> None:
        """Leave out content that did not cause it."""
        del self.stages_by_content[content]
        suspicions = (_SUSPICION_BY_STAGE[stage] for stage in self.stages_by_content.values())
        self.likeliest = max(suspicions, default=0)

    def blames(self, content: str, now: float) -> bool:
        """Tell whether no other content is a likelier cause.

        Whether there is one is open for a moment, unless the content is as likely as any can be.
        """
        stage = self.stages_by_content[content]
        if stage is RunStage.BEGUN:
            return True
        return _SUSPICION_BY_STAGE[stage] == self.likeliest and now >= self.at + SETTLE_SECONDS

    def involves(self, content: str) -> bool:
        """Tell whether the content may have caused it at all."""
        return self.stages_by_content[content] is not RunStage.PRODUCING


@dataclass(slots=True, frozen=True)
class _Hold:
    """A quarantine of some length; as long again after its end, one crash begins the next."""

    ends_at: float
    seconds: float

    def forgotten(self, now: float) -> bool:
        """Tell whether nothing is left of it."""
        return now >= self.ends_at + self.seconds


class Quarantine:
    """Collects evidence of crashes and tells which content is not to be run.

    Content is named by fingerprints. All times are those of the steady clock, in seconds.

    :param crashes: upstreams that content has crashed when it is put into quarantine.
    :param hold_seconds: how long the first quarantine lasts.
    """

    __slots__ = (
        "_crashes",
        "_crashes_by_lifetime",
        "_hold_seconds",
        "_holds_by_content",
        "_lifetimes_by_content",
    )

    def __init__(self, crashes: int, hold_seconds: float) -> None:
        self._crashes = crashes
        self._hold_seconds = hold_seconds
        self._crashes_by_lifetime: dict[str, _Crash] = {}
        self._lifetimes_by_content: defaultdict[str, set[str]] = defaultdict(set)
        self._holds_by_content: dict[str, _Hold] = {}

    @property
    def empty(self) -> bool:
        """Tell whether nothing at all is remembered, so that no content needs to be named."""
        return not self._crashes_by_lifetime and not self._holds_by_content

    def crashed(self, lifetime: str, content: str, stage: RunStage, now: float) -> bool:
        """Note that an upstream crashed while it had a request.

        :param lifetime: names one lifetime of one upstream.
        :return: whether the content is in quarantine since this.
        """
        crash = self._crashes_by_lifetime.get(lifetime)
        if crash is None:
            self._forget(now)
            crash = self._crashes_by_lifetime[lifetime] = _Crash(now)
        full = len(crash.stages_by_content) >= MAX_RUNS_OF_CRASH
        if full and content not in crash.stages_by_content:
            return False
        crash.add(content, stage)
        self._lifetimes_by_content[content].add(lifetime)
        return self._conclude(content, now)

    def settle(self, lifetime: str, now: float) -> list[str]:
        """Draw conclusions once all evidence of a crash must be here.

        :return: contents in quarantine since this.
        """
        crash = self._crashes_by_lifetime.get(lifetime)
        contents = sorted(crash.stages_by_content) if crash is not None else []
        return [content for content in contents if self._conclude(content, now)]

    def completed(self, content: str, now: float) -> list[str]:
        """Note that content was answered, which clears it, also of an earlier quarantine.

        :return: contents in quarantine since this, as no other is left that explains the crashes.
        """
        if content in self._holds_by_content and not self.held_seconds(content, now):
            del self._holds_by_content[content]
        others: set[str] = set()
        for lifetime in self._lifetimes_by_content.pop(content, ()):
            crash = self._crashes_by_lifetime[lifetime]
            crash.remove(content)
            others.update(crash.stages_by_content)
        return [other for other in sorted(others) if self._conclude(other, now)]

    def suspected(self, content: str) -> bool:
        """Tell whether the content was there at a crash, or was in quarantine before."""
        return content in self._lifetimes_by_content or content in self._holds_by_content

    def blamed(self, content: str, now: float) -> list[str]:
        """Return the lifetimes of upstreams that the content has likely crashed."""
        return [
            lifetime
            for lifetime in self._counted(content, now)
            if self._crashes_by_lifetime[lifetime].blames(content, now)
        ]

    def next_concludes(self, content: str, now: float) -> bool:
        """Tell whether one more crash puts the content into quarantine, or it is there already."""
        return len(self.blamed(content, now)) + 1 >= self._limit(content, now)

    def held_seconds(self, content: str, now: float) -> float:
        """Return how long the content stays in quarantine, zero if it may run."""
        hold = self._holds_by_content.get(content)
        return 0.0 if hold is None else max(0.0, hold.ends_at - now)

    def hold(self, content: str, seconds: float, now: float) -> bool:
        """Take from another router that content is in quarantine; tell whether that is news."""
        if seconds <= 0 or self.held_seconds(content, now):
            return False
        self._begin_hold(content, min(seconds, MAX_HOLD_SECONDS), now)
        return True

    def held(self, now: float) -> dict[str, float]:
        """Return all contents in quarantine and for how long."""
        return {
            content: hold.ends_at - now
            for content, hold in self._holds_by_content.items()
            if hold.ends_at > now
        }

    def _conclude(self, content: str, now: float) -> bool:
        """Put content into quarantine if the evidence is enough; tell whether that is news."""
        if self.held_seconds(content, now):
            return False
        counted = self._counted(content, now)
        least = self._least(content, now)
        if len(counted) < least:
            return False
        involved = sum(self._crashes_by_lifetime[key].involves(content) for key in counted)
        is_bystander = involved < least + MORE_AS_BYSTANDER
        if is_bystander and len(self.blamed(content, now)) < self._limit(content, now):
            return False
        before = self._holds_by_content.get(content)
        seconds = self._hold_seconds if before is None else 2 * before.seconds
        self._begin_hold(content, min(seconds, MAX_HOLD_SECONDS), now)
        return True

    def _begin_hold(self, content: str, seconds: float, now: float) -> None:
        """Put content into quarantine."""
        while len(self._holds_by_content) >= MAX_HOLDS and content not in self._holds_by_content:
            del self._holds_by_content[next(iter(self._holds_by_content))]
        # Word from another router names what is left of a quarantine, not its whole length.
        length = max(seconds, self._hold_seconds)
        self._holds_by_content[content] = _Hold(now + seconds, length)

    def _least(self, content: str, now: float) -> int:
        """Return how many crashes are enough at least; one after an earlier quarantine."""
        hold = self._holds_by_content.get(content)
        return self._crashes if hold is None or hold.forgotten(now) else 1

    def _limit(self, content: str, now: float) -> int:
        """Return how many crashes are enough, more while upstreams crash without the content."""
        least = self._least(content, now)
        if least < self._crashes:
            return least
        without = sum(
            now - crash.at < RECENT_SECONDS and content not in crash.stages_by_content
            for crash in self._crashes_by_lifetime.values()
        )
        return least + min(MAX_MORE_BY_CHANCE, without // self._crashes)

    def _counted(self, content: str, now: float) -> list[str]:
        """Return the crashes of content that count: an earlier quarantine was for those before."""
        hold = self._holds_by_content.get(content)
        since = now - EVIDENCE_SECONDS
        if hold is not None and hold.ends_at <= now:
            since = max(since, hold.ends_at)
        lifetimes = self._lifetimes_by_content.get(content, ())
        return sorted(key for key in lifetimes if self._crashes_by_lifetime[key].at >= since)

    def _forget(self, now: float) -> None:
        """Drop what is too old, and the oldest crash where there is no room for another."""
        oldest_first = list(self._crashes_by_lifetime.items())
        surplus = len(oldest_first) - MAX_CRASHES + 1
        for number, (lifetime, crash) in enumerate(oldest_first):
            if number < surplus or now - crash.at > EVIDENCE_SECONDS:
                self._forget_crash(lifetime, crash)
        for content in [key for key, hold in self._holds_by_content.items() if hold.forgotten(now)]:
            del self._holds_by_content[content]

    def _forget_crash(self, lifetime: str, crash: _Crash) -> None:
        """Drop a crash."""
        del self._crashes_by_lifetime[lifetime]
        for content in crash.stages_by_content:
            lifetimes = self._lifetimes_by_content[content]
            lifetimes.discard(lifetime)
            if not lifetimes:
                del self._lifetimes_by_content[content]
