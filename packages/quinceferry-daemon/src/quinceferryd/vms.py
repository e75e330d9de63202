"""Polls the platform's VM list and determines which VMs have terminated."""

import random

from quinceferry_core.adapters import VmList
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import PlatformUnavailableError
from quinceferry_core.membership import IncarnationRecord, VmAbsence, vm_has_terminated
from quinceferry_core.models import IncarnationId, UpstreamId, VmId, VmState
from quinceferryd.blackboard import Blackboard, UpstreamStatus
from quinceferryd.controllers import TaskGroupController

MAX_VM_LIST_LAG_SECONDS = 30.0
"""Maximum lag of the VM list for which the proof that a VM has terminated is valid."""

_JITTER = 0.2


class VmListController(TaskGroupController):
    """Updates ``blackboard.vms_by_id`` and the leaving state of upstreams on listed VMs.

    :param blackboard: shared state.
    :param vm_list: the platform's VM list.
    :param clock: source of time.
    :param rng: source of randomness, for spreading the polls of many routers.
    :param interval_seconds: mean time between polls.
    :param max_lag_seconds: maximum lag of the list.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        vm_list: VmList,
        clock: Clock,
        rng: random.Random,
        interval_seconds: float,
        max_lag_seconds: float = MAX_VM_LIST_LAG_SECONDS,
    ) -> None:
        super().__init__()
        self._blackboard = blackboard
        self._vm_list = vm_list
        self._clock = clock
        self._rng = rng
        self._interval_seconds = interval_seconds
        self._max_lag_seconds = max_lag_seconds
        self._tracked_vms: set[VmId] = set()
        self._absences_by_vm: dict[VmId, VmAbsence] = {}
        self._observed_since_by_incarnation: dict[IncarnationId, float] = {}
        self._listed_upstreams: set[UpstreamId] = set()
        self.failures = 0

    async def start(self) -> None:
        """Start polling."""
        self.spawn(self._poll_forever(), "vm-list")

    async def poll(self) -> bool:
        """Read the list once; return whether the platform answered."""
        requested_at = self._clock.monotonic()
        try:
            records = await self._vm_list.list()
        except PlatformUnavailableError:
            self.failures += 1
            return False
        self._blackboard.vms_by_id = {record.vm: record for record in records}
        self._track_absences(requested_at)
        self._update_leaving_upstreams()
        return True

    def is_terminated(self, record: IncarnationRecord) -> bool:
        """Return whether the reads so far prove that an incarnation's VM has terminated.

        The first call for an incarnation only starts its observation; later calls may return True.

        :param record: the incarnation's record as read from the key-value service.
        """
        if not record.vm_listed:
            return False
        now = self._clock.monotonic()
        observed_since = self._observed_since_by_incarnation.setdefault(record.incarnation, now)
        self._tracked_vms.add(record.vm)
        absence = self._absences_by_vm.get(record.vm)
        return vm_has_terminated(record, observed_since, absence, self._max_lag_seconds)

    def remove_observations(self, record: IncarnationRecord) -> None:
        """Remove the observations of an incarnation whose record has been deleted."""
        self._observed_since_by_incarnation.pop(record.incarnation, None)
        self._tracked_vms.discard(record.vm)
        self._absences_by_vm.pop(record.vm, None)

    async def _poll_forever(self) -> None:
        while True:
            await self.poll()
            spread = self._rng.uniform(1.0 - _JITTER, 1.0 + _JITTER)
            await self._clock.sleep(self._interval_seconds * spread)

    def _track_absences(self, read_at: float) -> None:
        for vm in self._tracked_vms:
            if vm in self._blackboard.vms_by_id:
                self._absences_by_vm.pop(vm, None)
                continue
            absence = self._absences_by_vm.get(vm, VmAbsence(read_at, read_at, 0))
            self._absences_by_vm[vm] = VmAbsence(
                absence.first_read_at, read_at, absence.readings + 1
            )

    def _update_leaving_upstreams(self) -> None:
        for upstream_id, spec in self._blackboard.configuration.upstreams_by_id.items():
            record = self._blackboard.vms_by_id.get(spec.vm)
            if record is not None:
                self._listed_upstreams.add(upstream_id)
            was_removed = record is None and upstream_id in self._listed_upstreams
            is_announced = record is not None and record.state is VmState.LEAVING
            self._set_leaving(upstream_id, was_removed or is_announced)

    def _set_leaving(self, upstream_id: UpstreamId, leaving: bool) -> None:
        """Set whether an upstream is leaving; revert it if only a stale read lacked its VM."""
        status = self._blackboard.upstreams_by_id.setdefault(upstream_id, UpstreamStatus())
        if leaving and not status.leaving:
            status.leaving_since = self._clock.monotonic()
        status.leaving = leaving
