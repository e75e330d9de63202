"""In-process stand-in for a model engine that batches continuously and caches prompt prefixes."""

import random
from collections import deque
from collections.abc import AsyncIterator

from quinceferry_core.adapters import CacheEvent, Dispatch, EngineOrder, LoadReport
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import (
    UpstreamNotSentError,
    UpstreamRefusedError,
    UpstreamUnknownRequestError,
)
from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent
from quinceferry_standins.batching import Batcher
from quinceferry_standins.engine_settings import EngineSettings
from quinceferry_standins.engine_streams import EngineStream, StreamState
from quinceferry_standins.loaded_models import LoadedModels, WeightSource
from quinceferry_standins.outputs import count_prompt_tokens
from quinceferry_standins.reports import CacheEventLog, LaggedReports
from quinceferry_standins.runs import OrderRecord, RunRecord

StreamKey = tuple[WorkspaceId, RequestId, IncarnationId]


class FakeEngine:
    """A model engine; ``runs`` and ``orders`` record what it really did.

    :param clock: source of time and of delays.
    :param upstream: identifier of the engine.
    :param rng: draws the cache events that are lost.
    :param weights: where loads read weights; None loads at once.
    """

    def __init__(
        self,
        clock: Clock,
        upstream: UpstreamId,
        settings: EngineSettings | None = None,
        rng: random.Random | None = None,
        weights: WeightSource | None = None,
    ) -> None:
        settings = settings or EngineSettings()
        self.upstream = upstream
        self.settings = settings
        self.runs: list[RunRecord] = []
        self.orders: list[OrderRecord] = []
        self.leaving_since: float | None = None
        self.down = False
        self.models = LoadedModels(upstream, settings, weights, self._record_load)
        self._clock = clock
        self._events = CacheEventLog(
            clock,
            rng or random.Random(0),
            settings.cache_event_lag_seconds,
            settings.cache_event_loss,
        )
        self._streams_by_key: dict[StreamKey, EngineStream] = {}
        self._retained: deque[tuple[float, EngineStream]] = deque()
        self._batcher = Batcher(clock, settings, self._events, self._retain, self._record_load)
        self._reports = LaggedReports(clock, settings.report_lag_seconds, self.load_now())

    def begin(self, dispatch: Dispatch) -> EngineStream:
        """Accept a request into the waiting queue.

        A request that still runs here is run once more; only :meth:`resume` continues a run.

        :raises UpstreamNotSentError: the engine is down.
        :raises UpstreamRefusedError: the model is not loaded, the prompt exceeds the token cap, or
            the queue is full.
        """
        self._check_up("engine.run")
        self._check_acceptable(dispatch)
        self._forget_old_streams()
        record = RunRecord.of(dispatch, self._clock.monotonic())
        stream = EngineStream(dispatch, record)
        self.runs.append(record)
        self._streams_by_key.pop(_key(dispatch), None)
        self._streams_by_key[_key(dispatch)] = stream
        self._batcher.add(stream)
        return stream

    async def run(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Run a request and return its events; errors as for :meth:`begin`."""
        async for event in self.begin(dispatch).read(dispatch.offset):
            yield event

    def find(self, dispatch: Dispatch) -> EngineStream:
        """Return the stream of a request that runs here or ended not long ago.

        A dispatch that names the attempt which began its run finds no other attempt's.

        :raises UpstreamUnknownRequestError: there is none.
        """
        self._check_up("engine.resume")
        self._forget_old_streams()
        stream = self._streams_by_key.get(_key(dispatch))
        if stream is None or dispatch.run_attempt not in (None, stream.record.attempt):
            raise UpstreamUnknownRequestError(step="engine.resume", peer=self.upstream)
        return stream

    async def resume(self, dispatch: Dispatch) -> AsyncIterator[AnswerEvent]:
        """Return a stream's events from ``dispatch.offset`` on; errors as for :meth:`find`."""
        async for event in self.find(dispatch).read(dispatch.offset):
            yield event

    def cancel(
        self,
        request_id: RequestId,
        workspace: WorkspaceId | None = None,
        incarnation: IncarnationId | None = None,
        attempt: int | None = None,
    ) -> int | None:
        """Stop the latest run of a request; a repeat returns the same use.

        :param workspace: None matches the request only if one workspace alone uses its identifier.
        :param incarnation: None matches the run of any router.
        :param attempt: None matches any attempt.
        :return: tokens it used in all, or None if the engine does not know the request.
        """
        self._check_up("engine.cancel")
        self._forget_old_streams()
        stream = self._find_named(request_id, workspace, incarnation)
        if stream is None or attempt not in (None, stream.record.attempt):
            return None
        if stream.open:
            stream.cancel()
            self._batcher.drop_ended()
        return stream.record.used_tokens

    def load(self) -> LoadReport:
        """Return the load report of some time ago."""
        self._check_up("engine.load")
        return self._reports.read()

    def load_now(self) -> LoadReport:
        """Return the load of this moment, which only tests can see."""
        waiting = self._batcher.waiting
        running = len(self._batcher.running)
        return LoadReport(
            running=running,
            waiting=len(waiting),
            queued_tokens=sum(stream.prompt_tokens for stream in waiting),
            free_slots=self.settings.slots - running,
            loaded=self.models.loaded,
            leaving=self.leaving_since is not None,
        )

    def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return visible cache events with a sequence greater than ``after``."""
        self._check_up("engine.cache_events")
        return self._events.read(after)

    def order(self, order: EngineOrder) -> None:
        """Obey an order; a load goes on in the background.

        :raises UpstreamRefusedError: the engine checks fencing numbers and this one is old, or it
            holds too many models.
        """
        self._check_up("engine.order")
        now = self._clock.monotonic()
        try:
            self.models.obey(order)
        except UpstreamRefusedError:
            self.orders.append(OrderRecord(order, now, obeyed=False))
            raise
        self.orders.append(OrderRecord(order, now, obeyed=True))

    def leave(self) -> None:
        """Report from now on that the engine is leaving; it still takes work."""
        self.leaving_since = self._clock.monotonic()
        self._record_load()

    def crash(self) -> None:
        """Lose all streams, connections and cached prefixes, and stop listening."""
        self.down = True
        for stream in self._streams_by_key.values():
            if stream.open:
                stream.end(StreamState.BROKEN)
        self._streams_by_key.clear()
        self._retained.clear()
        self._batcher.clear()

    def restart(self) -> None:
        """Listen again after a crash, with the same models loaded."""
        self.down = False
        self._record_load()

    async def stop(self) -> None:
        """Cancel background tasks."""
        self.crash()
        await self.models.stop()

    def _check_up(self, step: str) -> None:
        """Raise when nobody listens."""
        if self.down:
            raise UpstreamNotSentError("connection refused", step=step, peer=self.upstream)

    def _check_acceptable(self, dispatch: Dispatch) -> None:
        """Raise when the request must not begin."""
        refusal = ""
        if dispatch.request.target not in self.models.loaded:
            refusal = f"model not loaded: {dispatch.request.target}"
        elif count_prompt_tokens(dispatch.request.prompt) > dispatch.token_cap:
            refusal = "prompt exceeds the token cap"
        elif len(self._batcher.waiting) >= self.settings.max_waiting:
            refusal = "queue full"
        if refusal:
            raise UpstreamRefusedError(refusal, step="engine.run", peer=self.upstream)

    def _find_named(
        self,
        request_id: RequestId,
        workspace: WorkspaceId | None,
        incarnation: IncarnationId | None,
    ) -> EngineStream | None:
        """Return the latest stream of a request, or None."""
        named = [
            (key, stream)
            for key, stream in self._streams_by_key.items()
            if key[1] == request_id
            and workspace in (None, key[0])
            and incarnation in (None, key[2])
        ]
        is_ambiguous = len({key[0] for key, _ in named}) > 1
        return None if is_ambiguous or not named else named[-1][1]

    def _retain(self, stream: EngineStream) -> None:
        """Keep the output of an ended stream for a while."""
        expires_at = self._clock.monotonic() + self.settings.retain_seconds
        self._retained.append((expires_at, stream))

    def _forget_old_streams(self) -> None:
        """Drop output that has been kept long enough."""
        now = self._clock.monotonic()
        while self._retained and self._retained[0][0] <= now:
            _, stream = self._retained.popleft()
            key = _key(stream.dispatch)
            if self._streams_by_key.get(key) is stream:
                del self._streams_by_key[key]

    def _record_load(self) -> None:
        """Take a snapshot for the load report."""
        self._reports.record(self.load_now())


def _key(dispatch: Dispatch) -> StreamKey:
    """Return the key under which a stream can be resumed and cancelled."""
    return dispatch.request.workspace, dispatch.request.request_id, dispatch.incarnation
