"""Scripted upstreams and drawn faults for tests of streams."""

import random
from dataclasses import dataclass, field

from fixtures_routing import MODEL

from quinceferry_core.adapters import Dispatch, LoadReport
from quinceferry_core.exceptions import UpstreamLostError
from quinceferry_core.models import UpstreamId, Usage
from quinceferry_core.outcomes import Chunk, Finished
from quinceferry_standins.upstream_faults import (
    Break,
    Duplicate,
    LoseRequest,
    RefuseConnection,
    Silence,
    Stall,
    Swap,
)

FAULT_SHARE = 0.4
"""Probability that a connection has a fault."""


def draw_fault(rng: random.Random):
    """Draw the fault of one connection, or None."""
    if rng.random() > FAULT_SHARE:
        return None
    chunk = rng.randrange(8)
    faults = (
        RefuseConnection(),
        LoseRequest(),
        Silence(chunk),
        Stall(chunk, rng.uniform(1, 20)),
        Break(chunk),
        Duplicate(chunk),
        Swap(chunk),
    )
    return rng.choice(faults)


@dataclass
class ScriptedUpstreams:
    """Upstreams whose text, omissions and deaths a test sets."""

    words_by_upstream: dict[UpstreamId, list[str]]
    omitted: set[int] = field(default_factory=set)
    dies_after: int | None = None
    dead: set[UpstreamId] = field(default_factory=set)
    cancelled: list[UpstreamId] = field(default_factory=list)

    async def run(self, dispatch: Dispatch):
        """Return the words, but for those omitted on the first connection."""
        words = self.words_by_upstream[dispatch.upstream.id]
        omitted, self.omitted = self.omitted, set()
        dies_after, self.dies_after = self.dies_after, None
        for position, word in enumerate(words):
            if position == dies_after:
                self.dead.add(dispatch.upstream.id)
                raise UpstreamLostError("died")
            if position not in omitted:
                yield Chunk(position, 1, word)
        yield Finished(Usage(3, len(words)))

    async def resume(self, dispatch: Dispatch):
        """Return the words from an offset on."""
        if dispatch.upstream.id in self.dead:
            raise UpstreamLostError("dead")
        words = self.words_by_upstream[dispatch.upstream.id]
        for position in range(dispatch.offset, len(words)):
            yield Chunk(position, 1, words[position])
        yield Finished(Usage(3, len(words)))

    async def cancel(self, upstream, request_id, workspace=None, incarnation=None, attempt=None):
        """Note the cancellation."""
        self.cancelled.append(upstream.id)
        return

    async def load(self, upstream):
        """Return an idle report."""
        return LoadReport(0, 0, 0, 16, (MODEL,))

    async def cache_events(self, upstream, after):
        """Return nothing."""
        return ()


@dataclass
class ReadLog:
    """Records which connection each event was read from."""

    inner: object
    reads: list[int] = field(default_factory=list)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    async def run(self, dispatch):
        """Record and pass on."""
        async for event in self.inner.run(dispatch):
            self.reads.append(dispatch.attempt)
            yield event

    async def resume(self, dispatch):
        """Record and pass on."""
        async for event in self.inner.resume(dispatch):
            self.reads.append(dispatch.attempt)
            yield event
