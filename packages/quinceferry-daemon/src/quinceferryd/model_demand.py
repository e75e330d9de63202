"""Publication of this router's demand for models, and the total demand of the fleet."""

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvStore
from quinceferry_core.demand import DemandMeter
from quinceferry_core.exceptions import KvConflictError
from quinceferry_core.models import ModelRef
from quinceferryd.blackboard import Blackboard
from quinceferryd.membership import MembershipController

DEMAND_KEY_PREFIX = "demand/"


class ModelDemand:
    """Publishes the demand of each router under one key.

    The key is written when the rounded demand changes. A router that never had any demand has no
    key.

    :param blackboard: shared state.
    :param kv: client of the key-value service.
    :param membership: owner of the lease that the key is attached to.
    :param meter: measures this router's demand.
    """

    def __init__(
        self,
        blackboard: Blackboard,
        kv: KvStore,
        membership: MembershipController,
        meter: DemandMeter,
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._membership = membership
        self._meter = meter
        self._published_rates: dict[str, float] = {}
        self._published_lease = ""

    async def publish(self) -> None:
        """Write the demand if it or the lease has changed since the last write.

        :raises KvError: the service did not answer; the call can be repeated.
        """
        lease = self._membership.lease
        rates = {str(model): rate for model, rate in self._meter.rounded_rates().items()}
        is_unchanged = rates == self._published_rates and self._published_lease in (lease, "")
        if not lease or is_unchanged:
            return
        key = f"{DEMAND_KEY_PREFIX}{self._blackboard.identity.incarnation}"
        entry = await self._kv.get(key)
        version = entry.version if entry else ABSENT_VERSION
        try:
            await self._kv.put_if(key, msgspec.json.encode(rates), version, lease)
        except KvConflictError:
            return
        self._published_rates = rates
        self._published_lease = lease

    async def read_fleet_rates(self) -> dict[ModelRef, float]:
        """Return the demand per model, summed over all routers."""
        total_rates: dict[ModelRef, float] = {}
        for entry in await self._kv.list(DEMAND_KEY_PREFIX):
            for name, rate in msgspec.json.decode(entry.value, type=dict[str, float]).items():
                model = ModelRef.parse(name)
                total_rates[model] = total_rates.get(model, 0.0) + rate
        return total_rates
