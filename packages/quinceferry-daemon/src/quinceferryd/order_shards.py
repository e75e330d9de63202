"""Assigns shards of engines to the routers that send them orders.

Engines are grouped into shards by zone and hash. The holder of a shard writes the shard's record
under the lease of its heartbeat, with a new number of the fencing counter, so that each holder's
number is higher than that of the previous holder. A shard needs no lease renewals of its own, and
no router polls for it: only the router that ranks first for a shard tries to acquire it.
"""

import hashlib

import msgspec

from quinceferry_core.adapters import ABSENT_VERSION, KvEntry, KvStore
from quinceferry_core.clocks import Clock
from quinceferry_core.exceptions import KvConflictError, LeaseLostError
from quinceferry_core.membership import MemberState
from quinceferry_core.models import IncarnationId, UpstreamKind, UpstreamSpec
from quinceferry_core.orders import EngineRecord
from quinceferry_core.routing import rendezvous_order
from quinceferryd.blackboard import Blackboard
from quinceferryd.load_queue import LATE_WRITE_SECONDS
from quinceferryd.membership import MembershipController

ORDER_PREFIX = "orders/"
SHARDS_PER_ZONE = 8
LEASE_SEND_MARGIN_SECONDS = 2.0
"""How long before the end of its lease a holder stops sending orders."""


class ShardRecord(msgspec.Struct, frozen=True):
    """Holder of one shard and the state of its engines as observed by the holder."""

    holder: IncarnationId
    fencing: int
    engines: tuple[EngineRecord, ...] = ()


class HeldShard:
    """A shard that this router holds; ``held_since`` is in monotonic seconds.

    ``version`` is that of the stored record, and ``sequence`` the number of the last order.
    """

    __slots__ = ("name", "fencing", "lease", "version", "held_since", "engines", "sequence")

    def __init__(
        self, name: str, fencing: int, lease: str, version: int, held_since: float
    ) -> None:
        self.name = name
        self.fencing = fencing
        self.lease = lease
        self.version = version
        self.held_since = held_since
        self.engines: tuple[EngineRecord, ...] = ()
        self.sequence = 0

    def next_sequence(self) -> int:
        """Return the number of the next order in this shard."""
        self.sequence += 1
        return self.sequence


def shard_of(spec: UpstreamSpec) -> str:
    """Return the shard of an engine."""
    digest = hashlib.blake2b(spec.id.encode(), digest_size=2).digest()
    return f"{spec.zone}-{int.from_bytes(digest, 'big') % SHARDS_PER_ZONE}"


class OrderShards:
    """Acquires and releases shards.

    :param blackboard: shared state.
    :param kv: the key-value service.
    :param clock: source of time.
    :param membership: owner of the lease.
    """

    def __init__(
        self, blackboard: Blackboard, kv: KvStore, clock: Clock, membership: MembershipController
    ) -> None:
        self._blackboard = blackboard
        self._kv = kv
        self._clock = clock
        self._membership = membership
        self.held_by_name: dict[str, HeldShard] = {}
        self._uncertain_since_by_name: dict[str, float] = {}

    def engines_by_shard(self) -> dict[str, list[UpstreamSpec]]:
        """Return the configured engines of each shard."""
        engines: dict[str, list[UpstreamSpec]] = {}
        for spec in self._blackboard.configuration.upstreams_by_id.values():
            if spec.kind is UpstreamKind.ENGINE:
                engines.setdefault(shard_of(spec), []).append(spec)
        return engines

    def can_send(self, shard: HeldShard) -> bool:
        """Return whether an order may be sent: the shard is held and its lease is long enough.

        The process may still be paused after this check; the effect of such a late order is
        reverted by the next holder.
        """
        is_held = self.held_by_name.get(shard.name) is shard
        ends_at = self._membership.lease_valid_until - LEASE_SEND_MARGIN_SECONDS
        return is_held and shard.lease == self._membership.lease and self._now() < ends_at

    async def update(self) -> None:
        """Acquire the shards for which this router ranks first, and release all others.

        :raises KvError: a call to the key-value service failed; repeat the call.
        """
        self._remove_lapsed()
        wanted = {name for name in self.engines_by_shard() if self._ranks_first(name)}
        for name in [name for name in self.held_by_name if name not in wanted]:
            del self.held_by_name[name]
            self._uncertain_since_by_name[name] = self._now()
        for name in sorted(self._uncertain_since_by_name.keys() - wanted):
            await self._release(name)
        if not self._membership.lease:
            return
        for name in sorted(wanted - self.held_by_name.keys()):
            await self._acquire(name)

    async def publish(self, shard: HeldShard, engines: tuple[EngineRecord, ...]) -> None:
        """Write the observed state of a shard's engines if it changed.

        The shard is dropped if its record has another holder or its lease has ended.

        :raises KvError: a call to the key-value service failed; repeat the call.
        """
        if engines == shard.engines:
            return
        record = ShardRecord(self._blackboard.identity.incarnation, shard.fencing, engines)
        try:
            entry = await self._kv.put_if(
                _key(shard.name), msgspec.json.encode(record), shard.version, shard.lease
            )
        except (KvConflictError, LeaseLostError):
            if not await self._adopt_own_write(shard):
                self.held_by_name.pop(shard.name, None)
            return
        shard.version = entry.version
        shard.engines = engines

    async def read_all(self) -> tuple[ShardRecord, ...]:
        """Return the records of all shards."""
        entries = await self._kv.list(ORDER_PREFIX)
        return tuple(msgspec.json.decode(entry.value, type=ShardRecord) for entry in entries)

    def _remove_lapsed(self) -> None:
        """Remove shards whose lease has ended, which also deleted their keys."""
        lease = self._membership.lease
        held = self.held_by_name.items()
        self.held_by_name = {name: shard for name, shard in held if shard.lease == lease != ""}

    def _ranks_first(self, name: str) -> bool:
        members = self._blackboard.members_by_incarnation.values()
        serving = [m for m in members if m.state is MemberState.SERVING]
        zone = name.rpartition("-")[0]
        same_zone = [m for m in serving if m.zone == zone] or serving
        ranked = rendezvous_order(name, [m.incarnation for m in same_zone])
        return bool(ranked) and ranked[0] == self._blackboard.identity.incarnation

    async def _acquire(self, name: str) -> None:
        """Acquire a shard that has no record, or one from an unanswered write of this router."""
        own_incarnation = self._blackboard.identity.incarnation
        existing = await self._kv.get(_key(name))
        if existing is None:
            record = ShardRecord(own_incarnation, await self._membership.fencing_counter.draw())
        else:
            record = msgspec.json.decode(existing.value, type=ShardRecord)
        if record.holder != own_incarnation:
            return
        self._uncertain_since_by_name[name] = self._now()
        lease = self._membership.lease
        version = existing.version if existing else ABSENT_VERSION
        try:
            entry = await self._kv.put_if(_key(name), msgspec.json.encode(record), version, lease)
        except (KvConflictError, LeaseLostError):
            return
        self.held_by_name[name] = HeldShard(name, record.fencing, lease, entry.version, self._now())

    async def _adopt_own_write(self, shard: HeldShard) -> bool:
        """After a conflict, adopt the record if an earlier write of this router caused it.

        :return: whether it did.
        """
        entry = await self._kv.get(_key(shard.name))
        if entry is None:
            return False
        record = msgspec.json.decode(entry.value, type=ShardRecord)
        shard.version = entry.version
        shard.engines = record.engines
        return record.fencing == shard.fencing

    async def _release(self, name: str) -> None:
        """Delete this router's record; stop checking when no delayed write can restore it."""
        entry = await self._kv.get(_key(name))
        if entry is not None and self._is_own(entry):
            await self._kv.delete_if(entry.key, entry.version)
        elif self._now() >= self._uncertain_since_by_name[name] + LATE_WRITE_SECONDS:
            del self._uncertain_since_by_name[name]

    def _is_own(self, entry: KvEntry) -> bool:
        record = msgspec.json.decode(entry.value, type=ShardRecord)
        return record.holder == self._blackboard.identity.incarnation

    def _now(self) -> float:
        return self._clock.monotonic()


def _key(name: str) -> str:
    return f"{ORDER_PREFIX}{name}"
