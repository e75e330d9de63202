"""State that the controllers of a gateway read and write."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from quinceferry_gateway.catalog import Configuration, Upstream


class Phase(Enum):
    """Where a gateway stands in its life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


class Member(msgspec.Struct, frozen=True):
    """One incarnation of a gateway, as registered in the store.

    The name of an incarnation is that of its vm, a hyphen, and a part of its own. Addresses have
    the form ``host:port``.
    """

    incarnation: str
    vm: str
    zone: str
    peer_address: str
    caller_address: str


@dataclass(slots=True)
class Blackboard:
    """All that a gateway believes of itself and of the world.

    ``document`` and ``revision`` are the configuration as the store holds it. ``store_reachable``
    says whether the last own call to the store was answered. ``members_changed_at`` is None until
    the members were read once. ``unreachable`` holds the incarnations that nobody has heard from,
    ``leaving`` those that said they are about to stop. ``is_store_reader`` tells whether this
    gateway reads the store for the fleet. ``missing_since_by_upstream`` holds upstreams that are
    still used though the list lacks them. ``configuration_read_at``, ``upstreams_read_at`` and
    ``members_read_at`` are when the readings of the copies held were asked for, here or at a peer;
    None before. Times are those of the steady clock.
    """

    own: Member
    phase: Phase = Phase.STARTING
    configuration: Configuration | None = None
    document: bytes = b""
    revision: int = 0
    upstreams_by_id: dict[str, Upstream] = field(default_factory=dict)
    upstreams_revision: int = 0
    upstreams_read_at: float | None = None
    missing_since_by_upstream: dict[str, float] = field(default_factory=dict)
    members_by_incarnation: dict[str, Member] = field(default_factory=dict)
    members_changed_at: float | None = None
    unreachable: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    is_store_reader: bool = False
    configuration_read_at: float | None = None
    members_read_at: float | None = None
    store_reachable: bool = False
    _members_by_vm_source: dict[str, Member] = field(default_factory=dict, init=False, repr=False)
    _members_by_vm: dict[str, Member] = field(default_factory=dict, init=False, repr=False)

    @property
    def has_catalog(self) -> bool:
        """Tell whether the configuration and the list of upstreams were read."""
        return self.configuration is not None and self.upstreams_revision > 0

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers may be sent here."""
        return self.phase is Phase.SERVING and self.has_catalog and bool(self.upstreams_by_id)

    @property
    def members_by_vm(self) -> dict[str, Member]:
        """Return the members by vm; each has one at most."""
        if self._members_by_vm_source is not self.members_by_incarnation:
            self._members_by_vm_source = self.members_by_incarnation
            self._members_by_vm = {item.vm: item for item in self.members_by_incarnation.values()}
        return self._members_by_vm

    def should_skip_read(self, read_at: float | None) -> bool:
        """Tell whether to leave a list unread, since the store does not answer this gateway anyway.

        The list of upstreams is tried all the time, and one of which there is no copy is tried as
        well.

        :param read_at: when the copy of the list was read, None without one.
        """
        return read_at is not None and not self.store_reachable

    def backdate_copies(self, seconds: float) -> None:
        """Count all copies as read so much earlier, since the clock left that time out."""
        for name in ("configuration_read_at", "upstreams_read_at", "members_read_at"):
            read_at = getattr(self, name)
            if read_at is not None:
                setattr(self, name, read_at - seconds)

    def has_terminated(self, incarnation: str) -> bool:
        """Tell whether an incarnation has surely ended: another one has started on its vm.

        One that is only missing may be cut off and still serve with what it holds.
        """
        vm = incarnation.rpartition("-")[0] or incarnation
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

    def usable_peers(self) -> list[Member]:
        """Return the other members that answer and stay."""
        return [
            member
            for member in self.peers()
            if member.incarnation not in self.unreachable and member.incarnation not in self.leaving
        ]

    def usable_members(self) -> list[Member]:
        """Return the members that answer and stay, this one included while it serves."""
        usable = self.usable_peers()
        if self.phase is not Phase.DRAINING:
            usable.append(self.own)
        return usable
