"""Operations on the fleet: configuration changes and planned stops of routers."""

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
    """Executes operator calls, each at most once per operation id.

    :param blackboard: state shared by the components of this router.
    :param kv: the key-value store.
    :param configuration: controller of the configuration log.
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
        """Append a change to the configuration log, once per operation id.

        :raises KvUnavailableError: it is unknown whether the change was appended.
        """
        return await self._configuration.propose(
            change, expected_revision, operation_id, fingerprint
        )

    async def status(self, revision: int) -> ChangeStatus:
        """Return the progress of a revision and the routers that are still awaited."""
        return await self._configuration.status(revision)

    async def status_of_operation(self, operation_id: OperationId) -> ChangeStatus | None:
        """Return the progress of a change, or None if it was never appended to the log."""
        return await self._configuration.status_of_operation(operation_id)

    def routers(self) -> tuple[Member, ...]:
        """Return the routers with a live lease, in order of incarnation."""
        members = self._blackboard.members_by_incarnation
        return tuple(members[incarnation] for incarnation in sorted(members))

    async def drain(
        self, incarnation: IncarnationId, operation_id: OperationId
    ) -> Result[Member, str]:
        """Order a router to stop gracefully; the operation is idempotent.

        The heartbeat record shows the progress; it disappears when the router stops.

        :param incarnation: the router to stop.
        :param operation_id: identifier of the order.
        :return: the router's current heartbeat record, or the reason why there is none.
        :raises KvUnavailableError: it is unknown whether the order was stored.
        """
        member = self._blackboard.members_by_incarnation.get(incarnation)
        if member is None:
            return Failure(f"router {incarnation} is not a member")
        order = msgspec.json.encode(DrainOrder(operation_id))
        try:
            await self._kv.put_if(build_drain_key(incarnation), order, ABSENT_VERSION)
        except KvConflictError:
            # An earlier order exists; the router stops, whichever operation requested it.
            return Success(member)
        return Success(member)

    async def declare_gone(self, incarnation: IncarnationId) -> Result[IncarnationRecord, str]:
        """Record the operator's declaration that a router's process has terminated.

        There is no other proof if the router's VM never appeared in the VM list. The declaration
        must be true, because it releases everything that the router held.

        :param incarnation: the router that has terminated.
        :return: its incarnation record, or the reason why it cannot be declared gone.
        :raises KvUnavailableError: it is unknown whether the declaration was recorded.
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
