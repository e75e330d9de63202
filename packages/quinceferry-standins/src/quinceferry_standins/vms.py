"""Stand-in for the platform's list of VMs, which shows each change only after a lag."""

from collections.abc import Iterable
from dataclasses import dataclass

from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.models import VmId, VmRecord, VmState

DEFAULT_LAG_SECONDS = 30.0
DEFAULT_TIMEOUT_SECONDS = 2.0
DEFAULT_LATENCY_SECONDS = 0.003
PEER = "vms"
"""Peer named by the errors of this service."""


@dataclass(slots=True, frozen=True)
class _Change:
    """What becomes of one VM at a monotonic time; ``record`` is None when it is gone."""

    visible_at: float
    vm: VmId
    record: VmRecord | None


class VmRegistry:
    """The VMs as they are, and as the list shows them."""

    def __init__(self, clock: Clock, lag_seconds: float, initial: Iterable[VmRecord]) -> None:
        self.clock = clock
        self.lag_seconds = lag_seconds
        self.outage = False
        self.actual_by_id: dict[VmId, VmRecord] = {record.vm: record for record in initial}
        self._shown_by_id = dict(self.actual_by_id)
        self._pending: list[_Change] = []

    def change(self, vm: VmId, record: VmRecord | None) -> None:
        """Change a VM now; the list shows it after the lag in force."""
        _apply(self.actual_by_id, vm, record)
        # Changes show in the order in which they were made, even when the lag shrinks.
        previous = self._pending[-1].visible_at if self._pending else 0.0
        visible_at = max(previous, self.clock.monotonic() + self.lag_seconds)
        self._pending.append(_Change(visible_at, vm, record))

    def shown(self) -> list[VmRecord]:
        """Return the list as it lags, in order of VM identifier."""
        now = self.clock.monotonic()
        due = [change for change in self._pending if change.visible_at <= now]
        self._pending = [change for change in self._pending if change.visible_at > now]
        for change in due:
            _apply(self._shown_by_id, change.vm, change.record)
        return [self._shown_by_id[vm] for vm in sorted(self._shown_by_id)]


def _apply(records_by_id: dict[VmId, VmRecord], vm: VmId, record: VmRecord | None) -> None:
    if record is None:
        records_by_id.pop(vm, None)
    else:
        records_by_id[vm] = record


class FakeVmListConnection:
    """One client's view of the list; implements ``VmList``.

    ``outage`` cuts off this client alone.
    """

    def __init__(self, registry: VmRegistry, name: str, timeout_seconds: float) -> None:
        self.name = name
        self.outage = False
        self.calls = 0
        self._registry = registry
        self._timeout_seconds = timeout_seconds

    async def list(self) -> list[VmRecord]:
        """Read the list as it lags.

        :raises PlatformUnavailableError: there is an outage.
        """
        self.calls += 1
        clock = self._registry.clock
        if self.outage or self._registry.outage:
            await clock.sleep(self._timeout_seconds)
            raise PlatformUnavailableError("no answer", step="vms.list", peer=PEER)
        await clock.sleep(DEFAULT_LATENCY_SECONDS)
        return self._registry.shown()


class FakeVmList:
    """The platform's VM list, with methods to change the VMs behind it.

    :param clock: source of time.
    :param lag_seconds: how long after a change the list shows it; may be reassigned.
    :param initial: VMs listed from the start.
    :param timeout_seconds: how long a call lasts during an outage.
    """

    def __init__(
        self,
        clock: Clock,
        lag_seconds: float = DEFAULT_LAG_SECONDS,
        initial: Iterable[VmRecord] = (),
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        self._registry = VmRegistry(clock, lag_seconds, initial)
        self._timeout_seconds = timeout_seconds
        self._own_connection = self.connect("service")

    def connect(self, name: str) -> FakeVmListConnection:
        """Return a new connection for one client."""
        return FakeVmListConnection(self._registry, name, self._timeout_seconds)

    async def list(self) -> list[VmRecord]:
        """Read the list as it lags."""
        return await self._own_connection.list()

    def add(self, record: VmRecord) -> None:
        """Create a VM."""
        self._registry.change(record.vm, record)

    def mark_leaving(self, vm: VmId) -> None:
        """Announce that a VM will be removed.

        :raises KeyError: there is no such VM.
        """
        zone = self._registry.actual_by_id[vm].zone
        self._registry.change(vm, VmRecord(vm, zone, VmState.LEAVING))

    def remove(self, vm: VmId) -> None:
        """Remove a VM, announced or not."""
        self._registry.change(vm, None)

    @property
    def actual_by_id(self) -> dict[VmId, VmRecord]:
        """Return the VMs as they are now, without the lag."""
        return dict(self._registry.actual_by_id)

    @property
    def outage(self) -> bool:
        """Whether no client gets an answer."""
        return self._registry.outage

    @outage.setter
    def outage(self, outage: bool) -> None:
        self._registry.outage = outage

    @property
    def lag_seconds(self) -> float:
        """How long after a change the list shows it."""
        return self._registry.lag_seconds

    @lag_seconds.setter
    def lag_seconds(self, seconds: float) -> None:
        self._registry.lag_seconds = seconds
