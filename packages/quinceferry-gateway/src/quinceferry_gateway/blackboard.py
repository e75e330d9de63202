"""Shared state that the controllers of a gateway read and write."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated

import msgspec

from quinceferry_gateway.addresses import ADDRESS_PATTERN
from quinceferry_gateway.catalog import Configuration, EntryKind, Upstream

STOPPING_SECONDS = 10.0
"""How long a gateway that withdrew its registration may still serve requests: somewhat longer than
the grace time of a planned stop."""


Address = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
"""``host:port``, checked where it is decoded."""


class Phase(Enum):
    """Phase of a gateway's life cycle."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class Member(msgspec.Struct, frozen=True):
    """One incarnation of a gateway, as registered in the store.

    The name of an incarnation consists of the name of its vm, a hyphen, and a unique suffix.
    Addresses have the form ``host:port``.
    """

    incarnation: str
    vm: str
    zone: str
    peer_address: Address
    caller_address: str


@dataclass(slots=True)
class Blackboard:
    """State of a gateway: its own phase, and its view of the store, upstreams and members.

    ``document`` and ``revision`` are the configuration as stored, and its store revision.
    ``is_document_rejected`` states that this gateway has read a newer one that cannot be decoded,
    so that an older one is in force. The operators request that upstreams in ``evacuated_zones``
    get no requests.
    ``store_reachable`` is True if the last call to the store was answered. ``members_changed_at``
    is None until the members are read for the first time. ``unreachable`` contains the incarnations
    that no gateway has seen recently, ``leaving`` those that announced their stop.
    ``withdrawn_by_vm`` contains gateways that withdrew for a planned stop and may still serve, and
    when they have ended at the latest.
    This gateway reaches no upstream of ``unreachable_services``, and the incarnations in
    ``cut_off_members`` say the same of some service.
    ``is_store_reader`` is True if this gateway reads the store for the fleet.
    ``missing_since_by_upstream`` contains upstreams that are still used though the list lacks them.
    ``configuration_read_at``, ``upstreams_read_at`` and ``members_read_at`` are the times at which
    the current copies were requested from the store, by this gateway or a peer; None without a
    copy. Times are those of the monotonic clock, in seconds.
    """

    own: Member
    phase: Phase = Phase.STARTING
    configuration: Configuration | None = None
    document: bytes = b""
    revision: int = 0
    is_document_rejected: bool = False
    evacuated_zones: frozenset[str] = frozenset()
    upstreams_by_id: dict[str, Upstream] = field(default_factory=dict)
    upstreams_revision: int = 0
    upstreams_read_at: float | None = None
    missing_since_by_upstream: dict[str, float] = field(default_factory=dict)
    members_by_incarnation: dict[str, Member] = field(default_factory=dict)
    members_changed_at: float | None = None
    unreachable: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    withdrawn_by_vm: dict[str, tuple[Member, float]] = field(default_factory=dict)
    unreachable_services: frozenset[str] = frozenset()
    cut_off_members: frozenset[str] = frozenset()
    is_store_reader: bool = False
    configuration_read_at: float | None = None
    members_read_at: float | None = None
    store_reachable: bool = False
    _members_by_vm_source: dict[str, Member] = field(default_factory=dict, init=False, repr=False)
    _members_by_vm: dict[str, Member] = field(default_factory=dict, init=False, repr=False)

    @property
    def has_catalog(self) -> bool:
        """Return whether the configuration and the list of upstreams have been read."""
        return self.configuration is not None and self.upstreams_revision > 0

    @property
    def is_ready(self) -> bool:
        """Return whether new callers may be directed to this gateway."""
        return self.phase is Phase.SERVING and self.has_catalog and bool(self.upstreams_by_id)

    @property
    def members_by_vm(self) -> dict[str, Member]:
        """Return the members by vm; each vm has at most one."""
        if self._members_by_vm_source is not self.members_by_incarnation:
            self._members_by_vm_source = self.members_by_incarnation
            self._members_by_vm = {item.vm: item for item in self.members_by_incarnation.values()}
        return self._members_by_vm

    def evacuated_services(self) -> list[str]:
        """Return the services of which every listed upstream is in an evacuated zone."""
        upstreams = self.upstreams_by_id.values()
        remaining = {item.service for item in upstreams if item.zone not in self.evacuated_zones}
        return sorted({item.service for item in upstreams} - remaining)

    def malformed_entries_by_kind(self) -> dict[str, int]:
        """Return how many entries of the configuration in force are malformed, by their kind."""
        entries = self.configuration.malformed_entries if self.configuration else ()
        counts = Counter(entry.kind for entry in entries)
        return {kind.value: counts[kind] for kind in EntryKind}

    @property
    def reaches_majority(self) -> bool:
        """Return whether this gateway reaches more than half of the known members.

        At most one part of a partitioned fleet does. A gateway that has not read the members yet
        does not know whom it should reach.
        """
        if self.members_read_at is None:
            return False
        return 2 * len(self.usable_members()) > len(self.members_by_vm)

    def should_skip_read(self, read_at: float | None) -> bool:
        """Return whether to skip a read because the store is not reachable from this gateway.

        A list without a copy is read nevertheless, and the list of upstreams is always read.

        :param read_at: time at which the copy of the list was read, None without a copy.
        """
        return read_at is not None and not self.store_reachable

    def backdate_copies(self, seconds: float) -> None:
        """Count all copies as older by a time during which the monotonic clock was suspended."""
        for name in ("configuration_read_at", "upstreams_read_at", "members_read_at"):
            read_at = getattr(self, name)
            if read_at is not None:
                setattr(self, name, read_at - seconds)

    @staticmethod
    def vm_of(incarnation: str) -> str:
        """Return the vm of an incarnation."""
        return incarnation.rpartition("-")[0] or incarnation

    def has_terminated(self, incarnation: str) -> bool:
        """Return whether an incarnation has certainly terminated: another one started on its vm.

        One that is only missing may be partitioned, and still serve with the tokens it holds.
        """
        vm = self.vm_of(incarnation)
        if vm == self.own.vm:
            return incarnation != self.own.incarnation
        current_member = self.members_by_vm.get(vm)
        return current_member is not None and current_member.incarnation != incarnation

    def peers(self) -> list[Member]:
        """Return all other members."""
        return [
            member
            for key, member in self.members_by_incarnation.items()
            if key != self.own.incarnation
        ]

    def record_withdrawn(self, member: Member, now: float) -> None:
        """Record that a gateway that is no member any more may still serve; forget ended ones."""
        kept = {vm: item for vm, item in self.withdrawn_by_vm.items() if item[1] > now}
        self.withdrawn_by_vm = {**kept, member.vm: (member, now + STOPPING_SECONDS)}

    def notice_addresses(self, now: float) -> list[str]:
        """Return the peer addresses of all gateways that may use upstreams, except this one.

        They are the other members, unreachable ones included, and those that withdrew for a planned
        stop, as long as no other gateway has started on their vm.
        """
        withdrawn = [
            member
            for member, ends_at in self.withdrawn_by_vm.values()
            if ends_at > now and member.vm not in self.members_by_vm
        ]
        return [member.peer_address for member in self.peers() + withdrawn]

    def usable_peers(self) -> list[Member]:
        """Return the other members that are reachable and not leaving."""
        return [
            member
            for member in self.peers()
            if member.incarnation not in self.unreachable and member.incarnation not in self.leaving
        ]

    def connected_peers(self) -> list[Member]:
        """Return the usable peers that reach upstreams of all services, as far as is known."""
        return [
            member
            for member in self.usable_peers()
            if member.incarnation not in self.cut_off_members
        ]

    def usable_members(self) -> list[Member]:
        """Return the reachable members that are not leaving.

        They include this gateway unless it is draining.
        """
        usable = self.usable_peers()
        if self.phase is not Phase.DRAINING:
            usable.append(self.own)
        return usable
