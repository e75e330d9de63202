"""Bounded queue of requests, by priority, fair between workspaces, earliest deadline first.

Higher priorities go first, but one departure in ``LOWER_CLASS_PERIOD`` goes to the lowest waiting
class, so that none starves. Within a class the workspaces share by tokens (start-time fair
queueing); within a workspace the earliest deadline goes first.
"""

import heapq
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import Generic, TypeVar

from quinceferry_core.models import Priority, WorkspaceId

LOWER_CLASS_PERIOD = 16
"""One in this many departures goes to the lowest waiting class."""

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class Waiting(Generic[T]):
    """One waiting request; ``deadline`` and ``entered_at`` are in monotonic seconds."""

    item: T
    workspace: WorkspaceId
    priority: Priority
    tokens: int
    deadline: float
    entered_at: float


@dataclass(slots=True)
class _Lane(Generic[T]):
    """Requests of one workspace in one class."""

    finish_tag: float = 0.0
    heap: list[tuple[float, int, Waiting[T]]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Waiting requests of one pool of upstreams.

    :param max_entries: requests that may wait at once.
    :param max_workspace_share: part of the queue that one workspace may fill.
    """

    def __init__(self, max_entries: int, max_workspace_share: float = 0.5) -> None:
        self._max_entries = max_entries
        self._max_per_workspace = max(1, int(max_entries * max_workspace_share))
        self._lanes_by_class: dict[Priority, dict[WorkspaceId, _Lane[T]]] = {
            priority: {} for priority in Priority
        }
        self._virtual_time_by_class = {priority: 0.0 for priority in Priority}
        self._kept_tags_by_class: dict[Priority, dict[WorkspaceId, float]] = {
            priority: {} for priority in Priority
        }
        self._count_by_workspace: dict[WorkspaceId, int] = {}
        self._count_by_class = {priority: 0 for priority in Priority}
        self._count = 0
        self._sequence = 0
        self._departures = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._count

    def waiting_in(self, priority: Priority) -> int:
        """Return how many requests of one class wait."""
        return self._count_by_class[priority]

    def waiting_up_to(self, priority: Priority) -> int:
        """Return how many requests of this class and all above it wait."""
        return sum(count for other, count in self._count_by_class.items() if other <= priority)

    def has_room(self, workspace: WorkspaceId) -> bool:
        """Return whether a request of this workspace may wait."""
        if self._count >= self._max_entries:
            return False
        return self._count_by_workspace.get(workspace, 0) < self._max_per_workspace

    def workspace_is_full(self, workspace: WorkspaceId) -> bool:
        """Return whether this workspace fills its own part of the queue."""
        return self._count_by_workspace.get(workspace, 0) >= self._max_per_workspace

    def push(self, waiting: Waiting[T]) -> None:
        """Add a request; the caller has checked the room."""
        lane = self._open_lane(waiting.priority, waiting.workspace)
        self._sequence += 1
        heapq.heappush(lane.heap, (waiting.deadline, self._sequence, waiting))
        self._count_in(waiting, 1)

    def scan(self, limit: int) -> list[Waiting[T]]:
        """Return the requests that should leave next, the first one first.

        Each workspace's first request comes before any one's second.

        :param limit: how many to return at most.
        """
        found: list[Waiting[T]] = []
        for priority in self._class_order():
            lanes = sorted(self._lanes_by_class[priority].values(), key=_lane_order)
            queues = [[entry[2] for entry in heapq.nsmallest(limit, lane.heap)] for lane in lanes]
            for rank in zip_longest(*queues):
                found.extend(waiting for waiting in rank if waiting is not None)
            if len(found) >= limit:
                break
        return found[:limit]

    def take(self, waiting: Waiting[T]) -> None:
        """Remove a request that leaves for an upstream, and charge its workspace's share."""
        lanes = self._lanes_by_class[waiting.priority]
        lane = lanes[waiting.workspace]
        least_tag = min(each.finish_tag for each in lanes.values())
        virtual_time = self._virtual_time_by_class[waiting.priority]
        self._virtual_time_by_class[waiting.priority] = max(virtual_time, least_tag)
        lane.finish_tag += max(1, waiting.tokens)
        self._departures += 1
        self.remove(waiting)

    def evict_below(self, priority: Priority) -> Waiting[T] | None:
        """Remove the latest deadline of the lowest class below a priority, or return None."""
        for lower in sorted(Priority, reverse=True):
            if lower <= priority:
                return None
            entries = [
                entry for lane in self._lanes_by_class[lower].values() for entry in lane.heap
            ]
            if entries:
                waiting = max(entries)[2]
                self.remove(waiting)
                return waiting
        return None

    def remove(self, waiting: Waiting[T]) -> bool:
        """Remove a request that gave up; return whether it was waiting."""
        lane = self._lanes_by_class[waiting.priority].get(waiting.workspace)
        if lane is None:
            return False
        kept = [entry for entry in lane.heap if entry[2] is not waiting]
        if len(kept) == len(lane.heap):
            return False
        lane.heap = kept
        heapq.heapify(lane.heap)
        self._count_in(waiting, -1)
        self._drop_if_empty(waiting)
        return True

    def overdue(self, now: float, max_wait_seconds: float) -> list[Waiting[T]]:
        """Remove and return the requests that waited too long or are past their deadline."""
        late = [
            waiting
            for lanes in self._lanes_by_class.values()
            for lane in lanes.values()
            for _, _, waiting in lane.heap
            if now >= waiting.deadline or now - waiting.entered_at >= max_wait_seconds
        ]
        for waiting in late:
            self.remove(waiting)
        return late

    def _class_order(self) -> list[Priority]:
        """Return the waiting classes, the highest first but for the lowest one's turn."""
        classes = [priority for priority in sorted(Priority) if self._lanes_by_class[priority]]
        if classes and (self._departures + 1) % LOWER_CLASS_PERIOD == 0:
            return [classes[-1], *classes[:-1]]
        return classes

    def _count_in(self, waiting: Waiting[T], change: int) -> None:
        self._count += change
        self._count_by_class[waiting.priority] += change
        count = self._count_by_workspace.get(waiting.workspace, 0) + change
        if count:
            self._count_by_workspace[waiting.workspace] = count
        else:
            self._count_by_workspace.pop(waiting.workspace, None)

    def _open_lane(self, priority: Priority, workspace: WorkspaceId) -> _Lane[T]:
        lanes = self._lanes_by_class[priority]
        if workspace not in lanes:
            kept_tag = self._kept_tags_by_class[priority].pop(workspace, 0.0)
            lanes[workspace] = _Lane(max(self._virtual_time_by_class[priority], kept_tag))
        return lanes[workspace]

    def _drop_if_empty(self, waiting: Waiting[T]) -> None:
        """Drop an empty lane, but keep its tag while others of its class wait.

        Without the tag, a workspace that empties its lane between requests would jump the others.
        """
        lanes = self._lanes_by_class[waiting.priority]
        if lanes[waiting.workspace].heap:
            return
        lane = lanes.pop(waiting.workspace)
        kept_tags = self._kept_tags_by_class[waiting.priority]
        kept_tags[waiting.workspace] = lane.finish_tag
        if not lanes:
            kept_tags.clear()


def _lane_order(lane: _Lane[T]) -> tuple[float, float, int]:
    deadline, sequence, _ = lane.heap[0]
    return lane.finish_tag, deadline, sequence
