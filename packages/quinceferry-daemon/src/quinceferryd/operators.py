"""What operators ask of the fleet: changes of the configuration and planned stops."""

from dataclasses import replace

import msgspec
from returns.result import Failure, Result, Success

from quinceferry_core.adapters import ABSENT_VERSION, KvStore
from quinceferry_core.changes import ConfigurationChange
from quinceferry_core.configuration import ChangeBuilder, ChangeStatus, ConfigurationConflict
from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.membership import IncarnationRecord, Member, incarnation_key
from quinceferry_core.models import IncarnationId, OperationId
from quinceferryd.blackboard import Blackboard
from quinceferryd.configuration import ConfigurationController
from quinceferryd.shutdown import DrainOrder, build_drain_key


class OperatorService:
    """Carries out operators' calls, each at most once for an operation id.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param configuration: owner of the configuration log.
    """

    def __init__(
        self, blackboard: Blackboard, kv: KvStore, configuration: ConfigurationController
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._configuration = configuration

    async def propose(
        self,
        change: ConfigurationChange | ChangeBuilder,
        expected_revision: int,
        operation_id: OperationId,
        fingerprint: str = "",
    ) -> Result[ChangeStatus, ConfigurationConflict]:
        """Enter a change into the configuration, once for each operation id.

        :raises KvUnavailableError: it is not known whether it was entered.
        """
        return await self._configuration.propose(
            change, expected_revision, operation_id, fingerprint
        )

    async def status(self, revision: int) -> ChangeStatus:
        """Return how far a revision has come, and which routers are awaited."""
        return await self._configuration.status(revision)

    async def status_of_operation(self, operation_id: OperationId) -> ChangeStatus | None:
        """Return how far a change has come; None when it was never entered."""
        return await self._configuration.status_of_operation(operation_id)

    def routers(self) -> tuple[Member, ...]:
        """Return the routers with a live lease, in order of incarnation."""
        members = self._blackboard.members_by_incarnation
        return tuple(members[incarnation] for incarnation in sorted(members))

    async def drain(
        self, incarnation: IncarnationId, operation_id: OperationId
    ) -> Result[Member, str]:
        """Have a router stop gracefully; repeating the order changes nothing.

        Progress shows in the heartbeat record, which ends with the router.

        :param incarnation: the router to stop.
        :param operation_id: names the order.
        :return: its heartbeat record now, or why there is none.
        :raises KvUnavailableError: it is not known whether the order was given.
        """
        member = self._blackboard.members_by_incarnation.get(incarnation)
        if member is None:
            return Failure(f"router {incarnation} is not a member")
        order = msgspec.json.encode(DrainOrder(operation_id))
        try:
            await self._kv.put_if(build_drain_key(incarnation), order, ABSENT_VERSION)
        except KvConflictError:
            # An order stands already; its router stops, whoever gave it.
            return Success(member)
        return Success(member)

    async def declare_gone(self, incarnation: IncarnationId) -> Result[IncarnationRecord, str]:
        """Record that a router's process has ended, on the operator's word.

        For a VM that never appeared in the VM list there is no other proof. The word must be true:
        what the router held is freed by it.

        :param incarnation: the router that has ended.
        :return: its record, or why it cannot be declared gone.
        :raises KvUnavailableError: it is not known whether it was recorded.
        """
        if incarnation in self._blackboard.members_by_incarnation:
            return Failure(f"router {incarnation} has a live lease")
        while True:
            entry = await self._kv.get(incarnation_key(incarnation))
            if entry is None:
                return Failure(f"router {incarnation} has no record")
            record = msgspec.json.decode(entry.value, type=IncarnationRecord)
            declared = replace(record, left=True)
            try:
                await self._kv.put_if(entry.key, msgspec.json.encode(declared), entry.version)
            except KvConflictError:
                continue
            return Success(declared)
