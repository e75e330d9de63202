"""Holds copies of other routers' journal entries until the entries are durable."""

from dataclasses import dataclass, field

import msgspec

from quinceferry_core.copies import (
    CollectReply,
    CollectRequest,
    EntryCopy,
    HoldReply,
    HoldRequest,
)
from quinceferry_core.journals import Settle
from quinceferry_core.models import IncarnationId

MAX_HELD_BYTES = 6 * 1024 * 1024
"""Maximum size of the encoded copies of all owners together."""


@dataclass(slots=True, frozen=True)
class _Batch:
    """Copies received in one call, kept encoded to save memory."""

    last_position: int
    encoded: bytes


@dataclass(slots=True)
class _OwnerCopies:
    """Copies of one owner's entries; a sealed owner has been closed and adds no more."""

    batches: list[_Batch] = field(default_factory=list)
    is_sealed: bool = False

    def copies(self) -> list[EntryCopy]:
        """Decode and return all copies."""
        decoded: list[EntryCopy] = []
        for batch in self.batches:
            decoded.extend(msgspec.json.decode(batch.encoded, type=tuple[EntryCopy, ...]))
        return decoded

    def settlements(self) -> list[Settle]:
        """Return the bills among the copies."""
        return [copy.entry for copy in self.copies() if isinstance(copy.entry, Settle)]

    def remove_before(self, position: int) -> int:
        """Remove the batches with entries only before a position; return their size in bytes."""
        removed = [batch for batch in self.batches if batch.last_position < position]
        self.batches = [batch for batch in self.batches if batch.last_position >= position]
        return sum(len(batch.encoded) for batch in removed)


class CopyStore:
    """Stores copies in memory, for any number of owners."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self._copies_by_owner: dict[IncarnationId, _OwnerCopies] = {}
        self._own_incarnations: set[IncarnationId] = set()
        self._is_closed = False

    def add_own_incarnation(self, incarnation: IncarnationId) -> None:
        """Register an incarnation of this process, under which it accepts copies."""
        self._own_incarnations.add(incarnation)

    def owners(self) -> set[IncarnationId]:
        """Return the incarnations that have copies here or are sealed."""
        return set(self._copies_by_owner)

    def hold(self, request: HoldRequest) -> HoldReply:
        """Store copies and remove the copies of entries that are durable.

        A delayed call removes no copy that is still needed, because durable entries stay durable.
        """
        if self._is_closed or request.holder not in self._own_incarnations:
            return HoldReply.NOT_HOLDER
        owner_copies = self._copies_by_owner.setdefault(request.owner, _OwnerCopies())
        if owner_copies.is_sealed:
            return HoldReply.SEALED
        self.held_bytes -= owner_copies.remove_before(request.durable_before)
        if not request.copies:
            return HoldReply.HELD
        encoded = msgspec.json.encode(request.copies)
        if self.held_bytes + len(encoded) > MAX_HELD_BYTES:
            return HoldReply.FULL
        last_position = max(copy.position for copy in request.copies)
        owner_copies.batches.append(_Batch(last_position, encoded))
        self.held_bytes += len(encoded)
        return HoldReply.HELD

    def collect(self, request: CollectRequest) -> CollectReply:
        """Seal a closed incarnation and return all copies of its entries."""
        if request.holder not in self._own_incarnations:
            return CollectReply(False)
        owner_copies = self._copies_by_owner.setdefault(request.owner, _OwnerCopies())
        owner_copies.is_sealed = True
        return CollectReply(True, tuple(owner_copies.copies()))

    def close(self) -> list[Settle]:
        """Hold no more copies; those held can still be collected.

        :return: the bills among all copies, which a stopping router writes to its own journal.
        """
        self._is_closed = True
        return [
            bill
            for owner_copies in self._copies_by_owner.values()
            for bill in owner_copies.settlements()
        ]

    def remove_owner(self, owner: IncarnationId) -> list[Settle]:
        """Remove all copies of a retired incarnation.

        :return: the bills among its copies; the router that retired it may not have collected them.
        """
        owner_copies = self._copies_by_owner.pop(owner, None)
        if owner_copies is None:
            return []
        self.held_bytes -= sum(len(batch.encoded) for batch in owner_copies.batches)
        return owner_copies.settlements()
