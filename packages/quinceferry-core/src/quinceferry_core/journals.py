"""Journal of one incarnation: the attempts that it was about to send, and its bills.

The journal is a sequence of slots, each stored under its own key, which is created only if absent.
The creator of a slot decides its content, so that an append and a close cannot both succeed in the
same slot. Bills form a set keyed by workspace and request id; a repeated bill changes nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from quinceferry_core.models import IncarnationId, RequestId, UpstreamId, WorkspaceId

JOURNAL_PREFIX = "journals/"
SEGMENT_PREFIX = "bills/"


class Begin(msgspec.Struct, tag="b", frozen=True, array_like=True):
    """An attempt is about to be sent to an upstream, with tokens reserved for it."""

    workspace: WorkspaceId
    request: RequestId
    attempt: int
    upstream: UpstreamId
    reserved: int


class Settle(msgspec.Struct, tag="s", frozen=True, array_like=True):
    """All attempts of a request have ended.

    ``used`` counts the tokens to bill; ``lost`` those of interrupted attempts that were replaced,
    which are spent but not billed. ``run`` is false when no upstream began the request, so that
    there is no bill. ``origin`` is the incarnation whose allotment paid. ``estimated`` marks a bill
    whose usage no upstream reported; ``partial`` one whose caller left before the answer was
    complete.
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
    """One group commit, or the slot that closes the journal.

    ``first`` is the position of its first entry in the journal, counted from zero.
    """

    batch: str
    entries: tuple[Entry, ...] = ()
    closed_by: IncarnationId = IncarnationId("")
    first: int = 0


class Segment(msgspec.Struct, frozen=True):
    """Bills from the compaction of consecutive slots, in order.

    ``first_slot`` and ``next_slot`` delimit the compacted slots. ``next_position`` is the position
    of the first entry after them, ``folded_at`` the wall-clock time of the compaction.
    ``spent_by_workspace`` is cumulative over all slots before ``next_slot``.
    """

    first_slot: int
    next_slot: int
    bills: tuple[Settle, ...]
    spent_by_workspace: dict[WorkspaceId, int]
    next_position: int = 0
    folded_at: datetime | None = None


@dataclass(slots=True, frozen=True)
class RequestKey:
    """Key of a request, whose id is unique only within its workspace."""

    workspace: WorkspaceId
    request: RequestId


@dataclass(slots=True)
class JournalState:
    """State of a journal, built by reading its segments and slots.

    ``begins_by_request`` holds the attempts of requests that are not settled.
    """

    next_slot: int = 0
    next_position: int = 0
    closed_by: IncarnationId = IncarnationId("")
    spent_by_workspace: dict[WorkspaceId, int] = field(default_factory=dict)
    begins_by_request: dict[RequestKey, list[Begin]] = field(default_factory=dict)
    settled_requests: set[RequestKey] = field(default_factory=set)

    def apply_segment(self, segment: Segment) -> None:
        """Apply the totals and bills of compacted slots."""
        self.next_slot = max(self.next_slot, segment.next_slot)
        self.next_position = max(self.next_position, segment.next_position)
        self.spent_by_workspace = dict(segment.spent_by_workspace)
        self.settled_requests.update(RequestKey(b.workspace, b.request) for b in segment.bills)

    def apply_slot(self, number: int, slot: Slot, owner: IncarnationId) -> None:
        """Apply one slot.

        :param number: number of the slot; one below ``next_slot`` was compacted and is skipped.
        :param owner: the incarnation that the journal belongs to.
        """
        if number < self.next_slot:
            return
        self.next_slot = number + 1
        self.closed_by = slot.closed_by or self.closed_by
        for position, entry in enumerate(slot.entries, slot.first):
            self.apply(position, entry, owner)

    def apply(self, position: int, entry: Entry, owner: IncarnationId) -> bool:
        """Apply one entry and return whether its position was new."""
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
        """Return the tokens reserved by a workspace's attempts that are not settled."""
        return sum(
            begin.reserved
            for key, begins in self.begins_by_request.items()
            if key.workspace == workspace
            for begin in begins
        )


def slot_key(incarnation: IncarnationId, number: int) -> str:
    """Return the key of a slot; keys sort in slot order."""
    return f"{JOURNAL_PREFIX}{incarnation}/{number:012d}"


def slot_number(key: str) -> int:
    """Return the slot number at the end of a key."""
    return int(key.rpartition("/")[2])


def segment_key(incarnation: IncarnationId, first_slot: int) -> str:
    """Return the key of a segment; keys sort in slot order."""
    return f"{SEGMENT_PREFIX}{incarnation}/{first_slot:012d}"


def owner_from_key(key: str) -> IncarnationId:
    """Return the incarnation named in the key of a slot or segment."""
    return IncarnationId(key.split("/")[1])


def unique_bills(entries: Iterable[Settle]) -> dict[RequestKey, Settle]:
    """Return one bill for each request.

    An exact bill is preferred to an estimated one, and that of a complete answer to a partial one;
    among equal bills the lower origin is preferred, so that every reader chooses the same bill.
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
    """Return the sort key of a bill; the lowest is preferred."""
    return (bill.estimated, bill.partial, bill.origin, -bill.used)
