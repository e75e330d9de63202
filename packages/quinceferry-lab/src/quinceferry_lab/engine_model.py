"""Model of engines that batch continuously, on virtual time.

An engine works in steps. Each step gives every stream that has been read one token, and reads up to
one chunk of prompts that wait; it takes the longer the more it reads and the longer the contexts.
Parts of prompts are kept, least recently used first to go, and can be fetched from another engine.
What is left out: preemption, orders, moves, and work lost by crashes.
"""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class EngineFigures:
    """Speeds and sizes of one kind of engine; the users' sheets name them for each customer."""

    slots: int
    step_seconds: float
    context_seconds_per_token: float
    read_seconds_per_token: float
    pair_seconds: float
    """Reading a token takes so much longer for each token before it."""
    first_seconds: float
    """Fixed time from the arrival of a request until its prompt is read or queued."""
    chunk_tokens: int
    tokens_per_event: int
    memory_tokens: int
    fetch_seconds_per_token: float


TANK_ENGINES = EngineFigures(
    slots=64,
    step_seconds=0.0022,
    context_seconds_per_token=0.0175e-6,
    read_seconds_per_token=1 / 140_000,
    pair_seconds=0.295e-9,
    first_seconds=0.056,
    chunk_tokens=4096,
    tokens_per_event=9,
    memory_tokens=444_000,
    fetch_seconds_per_token=131_072 * 8 / 260e9,
)
"""Engines of the tank book-keeping: quick readers, many tokens in an event."""
FLEET_ENGINES = EngineFigures(
    slots=128,
    step_seconds=0.00627,
    context_seconds_per_token=0.0131e-6,
    read_seconds_per_token=1 / 39_300,
    pair_seconds=0.589e-9,
    first_seconds=0.041,
    chunk_tokens=4096,
    tokens_per_event=3,
    memory_tokens=213_000,
    fetch_seconds_per_token=262_144 * 8 / 150e9,
)
"""Engines of the fleet underwriting: slow readers, few tokens in an event."""


class Clockwork:
    """Runs what is due, in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._due, (when, next(self._numbers), action))

    def run(self) -> None:
        """Run until nothing is due any more."""
        while self._due:
            self.now, _, action = heapq.heappop(self._due)
            action()


@dataclass(slots=True)
class ModelStream:
    """One request at an engine; ``parts`` are shared, ``own_tokens`` are not."""

    parts: tuple[tuple[str, int], ...]
    own_tokens: int
    events: int
    on_event: Callable[[int], None]
    unread: int = 0
    context: int = 0
    tokens_made: int = 0
    events_made: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts) + self.own_tokens


@dataclass(slots=True)
class EngineCounts:
    """What an engine has done, in tokens."""

    read_again: int = 0
    fetched: int = 0


@dataclass(slots=True)
class ModelEngine:
    """One engine.

    :param speed: factor on the duration of each step.
    """

    clockwork: Clockwork
    figures: EngineFigures
    speed: float = 1.0
    running: list[ModelStream] = field(default_factory=list)
    waiting: list[ModelStream] = field(default_factory=list)
    counts: EngineCounts = field(default_factory=EngineCounts)
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _stepping: bool = False

    def accept(self, stream: ModelStream, fetch_from: "ModelEngine | None" = None) -> None:
        """Take a request; parts that another engine keeps are copied first."""
        delay = self.figures.first_seconds
        if fetch_from is not None:
            delay += self._fetch(stream, fetch_from)
        self.clockwork.at(self.clockwork.now + delay, lambda: self._queue(stream))

    def slow_down(self, factor: float) -> None:
        """Take so many times as long from the next step on."""
        self.speed *= factor

    def keeps(self, part: str) -> bool:
        """Tell whether a part need not be read."""
        return part in self._kept

    def _fetch(self, stream: ModelStream, source: "ModelEngine") -> float:
        """Copy what the other engine keeps beyond what is kept here; return how long it takes."""
        copied = 0
        for part, tokens in stream.parts:
            if self.keeps(part):
                continue
            if not source.keeps(part):
                break
            self._keep(part, tokens)
            copied += tokens
        self.counts.fetched += copied
        return copied * self.figures.fetch_seconds_per_token

    def _queue(self, stream: ModelStream) -> None:
        """Put a request into the batch, or behind those that wait."""
        self.waiting.append(stream)
        self._admit()
        if not self._stepping:
            self._begin_step()

    def _admit(self) -> None:
        """Move waiting requests into free slots."""
        while self.waiting and len(self.running) < self.figures.slots:
            stream = self.waiting.pop(0)
            stream.unread = stream.prompt_tokens - self._kept_tokens(stream)
            stream.context = stream.prompt_tokens - stream.unread
            self.running.append(stream)

    def _kept_tokens(self, stream: ModelStream) -> int:
        """Return the tokens of the leading parts that are kept."""
        kept = 0
        for part, tokens in stream.parts:
            if part not in self._kept:
                break
            self._kept.move_to_end(part)
            kept += tokens
        self.counts.read_again += sum(tokens for _, tokens in stream.parts) - kept
        return kept

    def _begin_step(self) -> None:
        """Plan a step and end it after its duration."""
        if not self.running:
            self._stepping = False
            return
        self._stepping = True
        figures = self.figures
        generating = [stream for stream in self.running if not stream.unread]
        left = figures.chunk_tokens
        seconds = figures.step_seconds
        for stream in self.running:
            seconds += stream.context * figures.context_seconds_per_token
            read = min(left, stream.unread)
            if read:
                seconds += read * figures.read_seconds_per_token
                seconds += read * stream.context * figures.pair_seconds
                left -= read
                stream.unread -= read
                stream.context += read
        ends_at = self.clockwork.now + seconds * self.speed
        self.clockwork.at(ends_at, lambda: self._end_step(generating))

    def _end_step(self, generating: list[ModelStream]) -> None:
        """Give a token to each stream that was read before the step."""
        for stream in generating:
            stream.tokens_made += 1
            stream.context += 1
            if stream.tokens_made % self.figures.tokens_per_event == 0:
                stream.events_made += 1
                stream.on_event(stream.events_made)
        for stream in self.running:
            if not stream.unread and not stream.tokens_made:
                for part, tokens in stream.parts:
                    self._keep(part, tokens)
        ended = [stream for stream in self.running if stream.events_made >= stream.events]
        if ended:
            self.running = [stream for stream in self.running if stream not in ended]
        self._admit()
        self._begin_step()

    def _keep(self, part: str, tokens: int) -> None:
        """Keep a part; the least recently used ones go when memory is full."""
        self._kept[part] = tokens
        self._kept.move_to_end(part)
        used = sum(stream.context for stream in self.running) + sum(self._kept.values())
        while used > self.figures.memory_tokens and len(self._kept) > 1:
            used -= self._kept.popitem(last=False)[1]
