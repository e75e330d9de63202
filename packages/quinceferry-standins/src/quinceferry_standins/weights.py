"""Stand-in for the platform's weight store, whose rate its clients share."""

import asyncio
from collections.abc import Mapping

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.models import ModelRef

DEFAULT_BYTES_PER_SECOND = 500e6
DEFAULT_MODEL_BYTES = 5_000_000_000
DEFAULT_TIMEOUT_SECONDS = 5.0
CHUNK_BYTES = 64_000_000
PEER = "weights"
"""Peer named by the errors of this service."""


class FakeWeightStore:
    """Weights of all models behind one rate limit.

    :param clock: source of time.
    :param bytes_per_second: rate shared by all clients.
    :param bytes_by_model: sizes; a model that is not named has ``DEFAULT_MODEL_BYTES``.
    :param timeout_seconds: how long a fetch waits for its next bytes during an outage.
    """

    def __init__(
        self,
        clock: Clock,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
        bytes_by_model: Mapping[ModelRef, int] | None = None,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self.outage = False
        self.bytes_served = 0
        self.timeout_seconds = timeout_seconds
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._bytes_by_model = dict(bytes_by_model or {})
        self._clients_by_name: dict[str, FakeWeightClient] = {}
        self._turn = asyncio.Lock()

    def connect(self, name: str) -> "FakeWeightClient":
        """Return the connection of one client, such as an engine."""
        if name not in self._clients_by_name:
            self._clients_by_name[name] = FakeWeightClient(self, name)
        return self._clients_by_name[name]

    def size_of(self, model: ModelRef) -> int:
        """Return the size of a model's weights in bytes."""
        return self._bytes_by_model.get(model, DEFAULT_MODEL_BYTES)

    async def send_chunk(self, chunk_bytes: int) -> None:
        """Send one chunk when its turn comes; waiting clients are served first come, first served.

        :raises PlatformUnavailableError: there is an outage.
        """
        async with self._turn:
            if not self.outage:
                await self._clock.sleep(chunk_bytes / self._bytes_per_second)
                self.bytes_served += chunk_bytes
                return
        await self._clock.sleep(self.timeout_seconds)
        raise PlatformUnavailableError("no bytes came", step="weights.fetch", peer=PEER)


class FakeWeightClient:
    """One client of the weight store; its own fetches share its turn."""

    def __init__(self, store: FakeWeightStore, name: str) -> None:
        self.name = name
        self._store = store
        self._turn = asyncio.Lock()

    async def fetch(self, model: ModelRef) -> int:
        """Fetch a model's weights; clients take turns chunk by chunk.

        :param model: which weights.
        :return: their size in bytes.
        :raises PlatformUnavailableError: the store did not answer; nothing is kept.
        """
        size = self._store.size_of(model)
        remaining = size
        while remaining > 0:
            chunk_bytes = min(remaining, CHUNK_BYTES)
            async with self._turn:
                await self._store.send_chunk(chunk_bytes)
            remaining -= chunk_bytes
        return size
