"""Detection of what the requests that crash upstreams have in common.

Requests that share a trait, such as a part of their prompts, may crash each upstream that begins to
answer them, while they differ in everything else. No content is then present at two crashes, but
the trait is present at all of them, and no request that has it is ever answered. Traits of sound
requests are present at many crashes, too, since each crash interrupts all requests of its upstream,
but some request that has them is soon answered elsewhere.

That nobody is answered proves little while upstreams crash so often that few requests are answered
at all. So the evidence is weighed by how many requests without the trait are interrupted.
"""

from collections import defaultdict, deque
from collections.abc import Callable, Collection
from dataclasses import dataclass

from quinceferry_core.crash_records import Crash, RequestAtCrash
from quinceferry_core.eviction import evict_oldest
from quinceferry_core.quarantine import (
    EVIDENCE_DELAY_SECONDS,
    EVIDENCE_SECONDS,
    EXTRA_BYSTANDER_CRASHES,
    MAX_CRASHES,
    RECENT_CRASH_SECONDS,
)

SAME_EVENT_SECONDS = 0.15
"""Upstreams that crash within this time count as one event: they may share a host or a rack, and
nobody is answered in between."""
MIN_CONTENTS = 2
"""Least number of different contents with a trait. Content that its caller repeats is judged by
itself."""
MAX_EXTRA_EVENTS = 1
"""Maximum number of additional events that are required while upstreams crash by themselves. With
three required ones, a trait is found after four crashes at the latest."""
MAX_CHANCE = 0.02
"""Probability of the evidence for a sound trait up to which the trait counts as a cause."""
MAX_BYSTANDER_CHANCE = 0.2
"""The same after EXTRA_BYSTANDER_CRASHES more events: a wrong conclusion then costs less than the
next crashes."""
MIN_OUTCOMES = 3
"""Least number of outcomes that tell the share of interrupted requests."""
MAX_OUTCOMES = 512
"""Most outcomes that are kept; the oldest are dropped first."""
_ROUNDING_SECONDS = 1e-6
"""Tolerance for the end of a sleep."""

MinCrashes = Callable[[str], int]
"""Returns the number of events after which a trait counts as a cause."""


_Event = list[Crash]
"""Crashes at the same time."""


@dataclass(slots=True, frozen=True)
class _Outcome:
    """Whether one request of this router was answered or interrupted by a crash."""

    at: float
    service: str
    traits: Collection[str]
    answered: bool


class CommonCauses:
    """Collects the traits of requests at crashes and finds those that cause them.

    Traits are opaque names. All times are in seconds of the monotonic clock.
    """

    __slots__ = ("_crashes_by_lifetime", "_outcomes")

    def __init__(self) -> None:
        self._crashes_by_lifetime: dict[str, Crash] = {}
        self._outcomes: deque[_Outcome] = deque(maxlen=MAX_OUTCOMES)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence."""
        return not self._crashes_by_lifetime

    def record_crash(
        self, lifetime: str, service: str, request: RequestAtCrash, now: float
    ) -> None:
        """Record that an upstream crashed while it had a request.

        :param lifetime: identifies one lifetime of one upstream of the service.
        """
        self._remove_expired(now)
        crash = self._crashes_by_lifetime.setdefault(lifetime, Crash(now, service))
        evict_oldest(self._crashes_by_lifetime, MAX_CRASHES)
        crash.add(request)

    def record_interruption(self, service: str, traits: Collection[str], now: float) -> None:
        """Record that a crash interrupted a request of this router."""
        self._outcomes.append(_Outcome(now, service, traits, answered=False))

    def record_answer(self, service: str, traits: Collection[str], now: float) -> None:
        """Record that a request of this router was answered."""
        self._outcomes.append(_Outcome(now, service, traits, answered=True))

    def clear(self, traits: Collection[str]) -> None:
        """Clear traits of a request that some upstream has answered."""
        for crash in self._crashes_by_lifetime.values():
            for trait in traits:
                crash.presence_by_trait.pop(trait, None)

    def is_suspected(self, trait: str) -> bool:
        """Return whether a trait was present at a crash and has not been cleared since."""
        crashes = self._crashes_by_lifetime.values()
        return any(trait in crash.presence_by_trait for crash in crashes)

    def find_causes(
        self, now: float, quarantined: Collection[str], min_crashes: MinCrashes
    ) -> list[str]:
        """Return the traits that count as causes, by the crashes of which all evidence has arrived.

        :param quarantined: causes that are known already; the crashes that they explain don't
            count for other traits.
        """
        causes: list[str] = []
        while True:
            known = {*quarantined, *causes}
            events = self._unexplained_events(now, known)
            possible_by_trait = _possible_events(events)
            found = [
                trait
                for trait in sorted(possible_by_trait.keys() - known)
                if self._is_cause(trait, possible_by_trait[trait], events, now, min_crashes(trait))
            ]
            if not found:
                return causes
            causes.append(_most_specific(found, events))

    def next_crash_decides(
        self, traits: Collection[str], now: float, min_crashes: MinCrashes
    ) -> bool:
        """Return whether one more crash could make one of some traits a cause."""
        events = self._unexplained_events(now + EVIDENCE_DELAY_SECONDS, ())
        return any(len(_events_with(trait, events)) + 1 >= min_crashes(trait) for trait in traits)

    def crashed_lifetimes(self, trait: str) -> list[str]:
        """Return the lifetimes of upstreams that crashed while they had requests with a trait."""
        return sorted(
            lifetime
            for lifetime, crash in self._crashes_by_lifetime.items()
            if trait in crash.presence_by_trait
        )

    def _is_cause(
        self, trait: str, possible: list[_Event], events: list[_Event], now: float, minimum: int
    ) -> bool:
        """Return whether the evidence suffices to call a trait a cause.

        As for content, a trait that is present again and again without one answer is no bystander,
        even if another request was a more likely cause each time.

        :param possible: those of the events that the trait can have caused.
        """
        if len(possible) < minimum:
            return False
        contents = _contents(trait, possible)
        if len(contents) < min(MIN_CONTENTS, minimum):
            return False
        likely = _events_with(trait, possible)
        if minimum == 1:
            return bool(likely)
        chance = self._interrupted_share(trait, possible)
        if len(possible) >= minimum + EXTRA_BYSTANDER_CRASHES:
            return chance ** _trials(possible, contents) <= MAX_BYSTANDER_CHANCE
        required = minimum + _extra_events(trait, events, now, minimum)
        return len(likely) >= required and chance ** _trials(likely, contents) <= MAX_CHANCE

    def _interrupted_share(self, trait: str, events: list[_Event]) -> float:
        """Return the share of requests without a trait that were interrupted since some events.

        It is one if this router had too few to tell: nothing can be concluded then.

        :param events: those at which the trait was present.
        """
        first = next(crash for crash in events[0] if trait in crash.presence_by_trait)
        service, since = first.service, first.crashed_at
        answered = [
            item.answered
            for item in self._outcomes
            if item.at >= since and item.service == service and trait not in item.traits
        ]
        if len(answered) < MIN_OUTCOMES:
            return 1.0
        return 1.0 - sum(answered) / len(answered)

    def _unexplained_events(self, now: float, causes: Collection[str]) -> list[_Event]:
        """Return the events of which all evidence has arrived, oldest first.

        :param causes: traits whose crashes are left out.
        """
        settled_at = now - EVIDENCE_DELAY_SECONDS + _ROUNDING_SECONDS
        crashes = [
            crash
            for crash in self._crashes_by_lifetime.values()
            if now - EVIDENCE_SECONDS <= crash.crashed_at <= settled_at
            and not crash.is_explained_by(causes)
        ]
        events: list[_Event] = []
        for crash in sorted(crashes, key=lambda item: item.crashed_at):
            if events and crash.crashed_at - events[-1][0].crashed_at <= SAME_EVENT_SECONDS:
                events[-1].append(crash)
            else:
                events.append([crash])
        return events

    def _remove_expired(self, now: float) -> None:
        """Remove crashes that no longer count."""
        for lifetime, crash in list(self._crashes_by_lifetime.items()):
            if now - crash.crashed_at > EVIDENCE_SECONDS:
                del self._crashes_by_lifetime[lifetime]


def _possible_events(events: list[_Event]) -> dict[str, list[_Event]]:
    """Return the events that each trait can have caused.

    A long history has many thousand traits, most of them at one event only.
    """
    possible_by_trait: defaultdict[str, list[_Event]] = defaultdict(list)
    for event in events:
        for trait in {trait for crash in event for trait in crash.possible_causes()}:
            possible_by_trait[trait].append(event)
    return possible_by_trait


def _is_present(trait: str, event: _Event) -> bool:
    """Return whether a request with a trait was at an event."""
    return any(trait in crash.presence_by_trait for crash in event)


def _events_with(trait: str, events: list[_Event]) -> list[_Event]:
    """Return the events of which a trait is a likely cause."""
    return [event for event in events if any(crash.is_likely_cause(trait) for crash in event)]


def _contents(trait: str, events: list[_Event]) -> set[str]:
    """Return the contents with a trait at some events."""
    presences = (
        crash.presence_by_trait[trait]
        for event in events
        for crash in event
        if trait in crash.presence_by_trait
    )
    return {content for presence in presences for content in presence.contents}


def _trials(events: list[_Event], contents: set[str]) -> int:
    """Return how many independent requests the evidence consists of."""
    return min(2 * len(events), len(contents))


def _extra_events(trait: str, events: list[_Event], now: float, minimum: int) -> int:
    """Return how many more events are required since upstreams also crash without the trait."""
    recent_without = sum(
        now - event[0].crashed_at < RECENT_CRASH_SECONDS and not _is_present(trait, event)
        for event in events
    )
    return min(MAX_EXTRA_EVENTS, recent_without // minimum)


def _most_specific(traits: list[str], events: list[_Event]) -> str:
    """Return the most specific of several causes that explain about as many events.

    A general trait is also present where its requests were interrupted by other crashes. To
    refuse it wrongly would concern many sound requests.
    """
    counts = {trait: len(_events_with(trait, events)) for trait in traits}
    likely = [trait for trait in traits if counts[trait] >= max(counts.values()) - 1]
    return max(likely, key=lambda trait: (_depth(trait, events), counts[trait], trait))


def _depth(trait: str, events: list[_Event]) -> int:
    """Return the position of a trait among those of its requests."""
    return max(
        crash.presence_by_trait[trait].depth
        for event in events
        for crash in event
        if trait in crash.presence_by_trait
    )
