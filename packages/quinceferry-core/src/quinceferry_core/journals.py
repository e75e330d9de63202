"""Journal of one incarnation: what it was about to run, and what it billed.

The journal is a sequence of slots, each its own key, created only if absent. Whoever creates a slot
decides its content, so an append and a close cannot both succeed at the same place. A bill is an
element of a set keyed by workspace and request id; a repeated bill changes nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId

JOURNAL_PREFIX = "journals/"
SEGMENT_PREFIX = "bills/"


class Begin(msgspec.Struct, tag="b", frozen=True, array_like=True):
    """One attempt is about to be sent to one upstream, with tokens reserved for it."""

    workspace: WorkspaceId
    request: RequestId
    attempt: int
    upstream: UpstreamId
    reserved: int


class Settle(msgspec.Struct, tag="s", frozen=True, array_like=True):
    """All attempts of a request have ended.

    ``used`` counts the tokens to bill; ``lost`` those of attempts that broke off and were replaced,
    which are spent but not billed. ``run`` is false when no upstream began it, so there is no bill.
    ``origin`` names the incarnation whose allotment paid. ``estimated`` marks a bill whose use no
    upstream could tell; ``partial`` one whose caller left before the answer was whole.
    """

    workspace: WorkspaceId
    request: RequestId
    used: int
    run: bool
    origin: IncarnationId
    estimated: bool = False
    partial: bool = False
    lost: int = 0


Entry = Begin | Settle


class Slot(msgspec.Struct, frozen=True, omit_defaults=True):
    """One group commit, or the mark that closes the journal.

    ``first`` is the position of its first entry among all entries of the journal, from zero.
    """

    batch: str
    entries: tuple[Entry, ...] = ()
    closed_by: IncarnationId = IncarnationId("")
    first: int = 0


class Segment(msgspec.Struct, frozen=True):
    """Bills folded out of consecutive slots, in order.

    ``next_position`` is the position of the first entry after them, ``folded_at`` the wall-clock
    time of folding.
    ``first_slot`` and ``next_slot`` bound the folded slots. ``spent_by_workspace`` is cumulative
    over all slots before ``next_slot``.
    """

    first_slot: int
    next_slot: int
    bills: tuple[Settle, ...]
    spent_by_workspace: dict[WorkspaceId, int]
    next_position: int = 0
    folded_at: datetime | None = None


@dataclass(slots=True, frozen=True)
class RequestKey:
    """A request id is unique within its workspace."""

    workspace: WorkspaceId
    request: RequestId


@dataclass(slots=True)
class JournalState:
    """What a journal says after all its slots have been read.

    ``begins_by_request`` holds the attempts of requests that are not settled.
    """

    next_slot: int = 0
    next_position: int = 0
    closed_by: IncarnationId = IncarnationId("")
    spent_by_workspace: dict[WorkspaceId, int] = field(default_factory=dict)
    begins_by_request: dict[RequestKey, list[Begin]] = field(default_factory=dict)
    settled_requests: set[RequestKey] = field(default_factory=set)

    def apply_segment(self, segment: Segment) -> None:
        """Take over the totals of folded slots."""
        self.next_slot = max(self.next_slot, segment.next_slot)
        self.next_position = max(self.next_position, segment.next_position)
        self.spent_by_workspace = dict(segment.spent_by_workspace)
        self.settled_requests.update(RequestKey(b.workspace, b.request) for b in segment.bills)

    def apply_slot(self, number: int, slot: Slot, owner: IncarnationId) -> None:
        """Take over one slot.

        :param number: position of the slot; one below ``next_slot`` was folded and is skipped.
        :param owner: the incarnation whose journal it is.
        """
        if number < self.next_slot:
            return
        self.next_slot = number + 1
        self.closed_by = slot.closed_by or self.closed_by
        for position, entry in enumerate(slot.entries, slot.first):
            self.apply(position, entry, owner)

    def apply(self, position: int, entry: Entry, owner: IncarnationId) -> bool:
        """Take over one entry; return False if the journal already has its position."""
        if position < self.next_position:
            return False
        self.next_position = position + 1
        key = RequestKey(entry.workspace, entry.request)
        match entry:
            case Begin():
                self.begins_by_request.setdefault(key, []).append(entry)
            case Settle():
                self.begins_by_request.pop(key, None)
                self.settled_requests.add(key)
                if entry.origin == owner:
                    spent = self.spent_by_workspace.get(entry.workspace, 0)
                    self.spent_by_workspace[entry.workspace] = spent + entry.used + entry.lost
        return True

    def reserved_unsettled(self, workspace: WorkspaceId) -> int:
        """Return the tokens reserved by attempts of a workspace that are not settled."""
        return sum(
            begin.reserved
            for key, begins in self.begins_by_request.items()
            if key.workspace == workspace
            for begin in begins
        )


def slot_key(incarnation: IncarnationId, number: int) -> str:
    """Return the key of one slot; keys sort in slot order."""
    return f"{JOURNAL_PREFIX}{incarnation}/{number:012d}"


def slot_number(key: str) -> int:
    """Return the slot number that a key ends with."""
    return int(key.rpartition("/")[2])


def segment_key(incarnation: IncarnationId, first_slot: int) -> str:
    """Return the key of a segment; keys sort in slot order."""
    return f"{SEGMENT_PREFIX}{incarnation}/{first_slot:012d}"


def owner_from_key(key: str) -> IncarnationId:
    """Return the incarnation that the key of a slot or segment names."""
    return IncarnationId(key.split("/")[1])


def unique_bills(entries: Iterable[Settle]) -> dict[RequestKey, Settle]:
    """Reduce bills to one for each request.

    An exact bill goes before an estimated one and a whole answer's before a partial one; among
    equals the lower origin wins, so that every reader picks the same.
    """
    bills_by_request: dict[RequestKey, Settle] = {}
    for entry in entries:
        if not entry.run:
            continue
        key = RequestKey(entry.workspace, entry.request)
        chosen = bills_by_request.get(key)
        if chosen is None or _preference_key(entry) < _preference_key(chosen):
            bills_by_request[key] = entry
    return bills_by_request


def _preference_key(bill: Settle) -> tuple[bool, bool, str, int]:
    """Return a sort key; the lowest is kept."""
    return (bill.estimated, bill.partial, bill.origin, -bill.used)
