"""Tracks which other routers are reachable, from the results of calls and of periodic probes."""

import random
from collections.abc import AsyncIterator, Awaitable
from contextlib import aclosing
from dataclasses import dataclass
from typing import TypeVar

from quinceferry_core.adapters import PeerClient, RecallReply
from quinceferry_core.clocks import Clock
from quinceferry_core.copies import CollectReply, CollectRequest, HoldReply, HoldRequest
from quinceferry_core.exceptions import PeerNotBegunError, PeerUnavailableError
from quinceferry_core.models import CallerRequest, RequestId, WorkspaceId
from quinceferry_core.outcomes import AnswerEvent, Outcome
from quinceferryd.blackboard import Blackboard
from quinceferryd.controllers import TaskGroupController

UNREACHABLE_SECONDS = 30.0
"""How long a router is considered unreachable after its last failure."""
FAILURES_UNTIL_UNREACHABLE = 2
PROBE_WINDOW_SECONDS = 60.0
"""How long a router is probed after an address answer named it."""
PROBE_INTERVAL_SECONDS = 5.0
"""Mean time between two probes while the key-value service is available."""
OUTAGE_PROBE_INTERVAL_SECONDS = 1.0
"""Mean time between two probes during an outage, when leases give no information."""

T = TypeVar("T")

_PROBE_WORKSPACE = WorkspaceId("")
_PROBE_REQUEST = RequestId("")


@dataclass(slots=True)
class _PeerRecord:
    """Failures and probes of one address; times are in monotonic seconds."""

    failures: int = 0
    failed_at: float = 0.0
    advertised_at: float = 0.0
    probed_at: float = float("-inf")


class PeerHealth:
    """Tracks failures by address.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records_by_address: dict[str, _PeerRecord] = {}

    def record_advertised(self, addresses: tuple[str, ...]) -> None:
        """Record that an address answer directed callers to these addresses."""
        for address in addresses:
            self._record_for(address).advertised_at = self._clock.monotonic()

    def record_success(self, address: str) -> None:
        """Record that a router answered, which resets its failures."""
        self._record_for(address).failures = 0

    def record_failure(self, address: str) -> None:
        """Record that a router did not answer."""
        record = self._record_for(address)
        record.failures += 1
        record.failed_at = self._clock.monotonic()

    def is_reachable(self, address: str) -> bool:
        """Return whether a router is reachable, so that address answers may name it."""
        record = self._records_by_address.get(address)
        if record is None or record.failures < FAILURES_UNTIL_UNREACHABLE:
            return True
        return self._clock.monotonic() >= record.failed_at + UNREACHABLE_SECONDS

    def next_to_probe(self) -> str | None:
        """Return the least recently probed address and mark it as probed.

        :return: the address, or None if no address was named or has failed recently.
        """
        cutoff = self._clock.monotonic() - PROBE_WINDOW_SECONDS
        records = self._records_by_address
        for address in [a for a, record in records.items() if self._is_expired(record, cutoff)]:
            del records[address]
        if not records:
            return None
        address = min(records, key=lambda a: records[a].probed_at)
        records[address].probed_at = self._clock.monotonic()
        return address

    def _is_expired(self, record: _PeerRecord, cutoff: float) -> bool:
        return record.advertised_at < cutoff and record.failed_at < cutoff

    def _record_for(self, address: str) -> _PeerRecord:
        return self._records_by_address.setdefault(address, _PeerRecord())


class MonitoredPeers:
    """Delegates calls to a peer client and records their results.

    :param inner: the client.
    :param health: records successes and failures.
    """

    def __init__(self, inner: PeerClient, health: PeerHealth) -> None:
        self._inner = inner
        self._health = health

    async def forward(self, address: str, request: CallerRequest) -> AsyncIterator[AnswerEvent]:
        """Forward a request to a peer and yield the events of its answer."""
        try:
            async with aclosing(self._inner.forward(address, request)) as events:
                async for event in events:
                    self._health.record_success(address)
                    yield event
        except PeerUnavailableError:
            self._health.record_failure(address)
            raise

    async def ask_outcome(
        self, address: str, workspace: WorkspaceId, request_id: RequestId
    ) -> Outcome | None:
        """Ask a peer for the outcome of a request."""
        call = self._inner.ask_outcome(address, workspace, request_id)
        return await self._record_outcome(address, call)

    async def recall(self, address: str, workspace: WorkspaceId, wanted: int) -> RecallReply:
        """Recall unused tokens from a peer."""
        return await self._record_outcome(address, self._inner.recall(address, workspace, wanted))

    async def hold(self, address: str, request: HoldRequest) -> HoldReply:
        """Send copies of journal entries to a peer that holds them."""
        return await self._record_outcome(address, self._inner.hold(address, request))

    async def collect(self, address: str, request: CollectRequest) -> CollectReply:
        """Collect the copies that a peer holds of a closed incarnation."""
        return await self._record_outcome(address, self._inner.collect(address, request))

    async def _record_outcome(self, address: str, call: Awaitable[T]) -> T:
        """Await a call and record whether the peer answered."""
        try:
            answer = await call
        except PeerUnavailableError:
            self._health.record_failure(address)
            raise
        self._health.record_success(address)
        return answer


class PeerProbe(TaskGroupController):
    """Probes, one at a time, the routers that address answers have named recently.

    :param blackboard: shared state.
    :param peers: client that records successes and failures.
    :param health: selects the routers to probe.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the probes of many routers.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        peers: MonitoredPeers,
        health: PeerHealth,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._peers = peers
        self._health = health
        self._clock = clock
        self._rng = rng

    async def start(self) -> None:
        """Start probing."""
        self.spawn(self._probe_forever(), "peer-probe")

    async def _probe_forever(self) -> None:
        while True:
            is_kv_available = self._blackboard.kv.available
            interval = PROBE_INTERVAL_SECONDS if is_kv_available else OUTAGE_PROBE_INTERVAL_SECONDS
            await self._clock.sleep(interval * self._rng.uniform(0.8, 1.2))
            address = self._health.next_to_probe()
            if address is not None and address != self._blackboard.identity.address:
                await self._probe(address)

    async def _probe(self, address: str) -> None:
        """Ask for the outcome of a request that cannot exist; any answer proves reachability."""
        try:
            await self._peers.ask_outcome(address, _PROBE_WORKSPACE, _PROBE_REQUEST)
        except PeerNotBegunError as error:
            if error.detail.startswith("status"):
                self._health.record_success(address)
        except PeerUnavailableError:
            return
