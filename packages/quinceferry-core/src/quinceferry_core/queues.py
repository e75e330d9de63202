"""Bounded queue of requests: by priority, fair between workspaces, earliest deadline first.

Higher priority classes are served first, except that one dispatch in ``LOWEST_CLASS_PERIOD`` serves
the lowest waiting class, so that no class starves. Within a class, workspaces share by tokens
(start-time fair queueing); within a workspace, the earliest deadline is served first.
"""

import heapq
from dataclasses import dataclass, field
from itertools import zip_longest
from typing import Generic, TypeVar

from quinceferry_core.models import Priority, WorkspaceId

LOWEST_CLASS_PERIOD = 16
"""One dispatch in this number serves the lowest waiting class."""

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class QueueEntry(Generic[T]):
    """A queued request; ``deadline`` and ``entered_at`` are in seconds of the monotonic clock."""

    item: T
    workspace: WorkspaceId
    priority: Priority
    tokens: int
    deadline: float
    entered_at: float


@dataclass(slots=True)
class _WorkspaceQueue(Generic[T]):
    """Requests of one workspace in one class.

    ``finish_tag`` is the virtual finish time of the last dispatched request.
    """

    finish_tag: float = 0.0
    heap: list[tuple[float, int, QueueEntry[T]]] = field(default_factory=list)


class FairQueue(Generic[T]):
    """Queue of the requests that wait for one pool of upstreams.

    :param max_entries: maximum number of queued requests.
    :param max_workspace_share: fraction of the queue that one workspace may fill.
    """

    def __init__(self, max_entries: int, max_workspace_share: float = 0.5) -> None:
        self._max_entries = max_entries
        self._max_per_workspace = max(1, int(max_entries * max_workspace_share))
        self._queues_by_class: dict[Priority, dict[WorkspaceId, _WorkspaceQueue[T]]] = {
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
        self._dispatches = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._count

    def count_in_class(self, priority: Priority) -> int:
        """Return the number of queued requests of one class."""
        return self._count_by_class[priority]

    def count_up_to_class(self, priority: Priority) -> int:
        """Return the number of queued requests of this class and all higher classes."""
        return sum(count for other, count in self._count_by_class.items() if other <= priority)

    def has_capacity(self, workspace: WorkspaceId) -> bool:
        """Return whether a request of this workspace can be queued."""
        if self._count >= self._max_entries:
            return False
        return self._count_by_workspace.get(workspace, 0) < self._max_per_workspace

    def workspace_is_full(self, workspace: WorkspaceId) -> bool:
        """Return whether this workspace has filled its share of the queue."""
        return self._count_by_workspace.get(workspace, 0) >= self._max_per_workspace

    def push(self, waiting: QueueEntry[T]) -> None:
        """Add a request; the caller must have checked :meth:`has_capacity`."""
        queue = self._queue_of_workspace(waiting.priority, waiting.workspace)
        self._sequence += 1
        heapq.heappush(queue.heap, (waiting.deadline, self._sequence, waiting))
        self._adjust_counts(waiting, 1)

    def peek(self, limit: int) -> list[QueueEntry[T]]:
        """Return the requests that should be dispatched next, in order.

        The first request of each workspace comes before the second of any workspace.

        :param limit: maximum number of requests.
        """
        found: list[QueueEntry[T]] = []
        for priority in self._class_order():
            queues = sorted(self._queues_by_class[priority].values(), key=_dispatch_order)
            ordered = [
                [entry[2] for entry in heapq.nsmallest(limit, queue.heap)] for queue in queues
            ]
            for rank in zip_longest(*ordered):
                found.extend(waiting for waiting in rank if waiting is not None)
            if len(found) >= limit:
                break
        return found[:limit]

    def dispatch(self, waiting: QueueEntry[T]) -> None:
        """Remove a request that is sent to an upstream, and charge its workspace."""
        queues = self._queues_by_class[waiting.priority]
        queue = queues[waiting.workspace]
        min_tag = min(queue.finish_tag for queue in queues.values())
        virtual_time = self._virtual_time_by_class[waiting.priority]
        self._virtual_time_by_class[waiting.priority] = max(virtual_time, min_tag)
        queue.finish_tag += max(1, waiting.tokens)
        self._dispatches += 1
        self.remove(waiting)

    def evict_below(self, priority: Priority) -> QueueEntry[T] | None:
        """Remove the request with the latest deadline of the lowest class below a priority.

        :return: the request, or None if no lower class has one.
        """
        for lower in sorted(Priority, reverse=True):
            if lower <= priority:
                return None
            entries = [
                entry for queue in self._queues_by_class[lower].values() for entry in queue.heap
            ]
            if entries:
                waiting = max(entries)[2]
                self.remove(waiting)
                return waiting
        return None

    def remove(self, waiting: QueueEntry[T]) -> bool:
        """Remove a request without charging its workspace; return whether it was queued."""
        queue = self._queues_by_class[waiting.priority].get(waiting.workspace)
        if queue is None:
            return False
        kept = [entry for entry in queue.heap if entry[2] is not waiting]
        if len(kept) == len(queue.heap):
            return False
        queue.heap = kept
        heapq.heapify(queue.heap)
        self._adjust_counts(waiting, -1)
        self._remove_if_empty(waiting)
        return True

    def remove_overdue(self, now: float, max_wait_seconds: float) -> list[QueueEntry[T]]:
        """Remove and return the requests that exceed the maximum wait or their deadline."""
        late = [
            waiting
            for queues in self._queues_by_class.values()
            for queue in queues.values()
            for _, _, waiting in queue.heap
            if now >= waiting.deadline or now - waiting.entered_at >= max_wait_seconds
        ]
        for waiting in late:
            self.remove(waiting)
        return late

    def _class_order(self) -> list[Priority]:
        """Return the waiting classes, highest first except on the lowest class's turn."""
        classes = [priority for priority in sorted(Priority) if self._queues_by_class[priority]]
        if classes and (self._dispatches + 1) % LOWEST_CLASS_PERIOD == 0:
            return [classes[-1], *classes[:-1]]
        return classes

    def _adjust_counts(self, waiting: QueueEntry[T], change: int) -> None:
        self._count += change
        self._count_by_class[waiting.priority] += change
        count = self._count_by_workspace.get(waiting.workspace, 0) + change
        if count:
            self._count_by_workspace[waiting.workspace] = count
        else:
            self._count_by_workspace.pop(waiting.workspace, None)

    def _queue_of_workspace(self, priority: Priority, workspace: WorkspaceId) -> _WorkspaceQueue[T]:
        queues = self._queues_by_class[priority]
        if workspace not in queues:
            kept_tag = self._kept_tags_by_class[priority].pop(workspace, 0.0)
            queues[workspace] = _WorkspaceQueue(
                max(self._virtual_time_by_class[priority], kept_tag)
            )
        return queues[workspace]

    def _remove_if_empty(self, waiting: QueueEntry[T]) -> None:
        """Remove a workspace's queue if it is empty.

        Its finish tag is kept while other workspaces of the class wait. Otherwise a workspace that
        empties its queue between requests would overtake the others.
        """
        queues = self._queues_by_class[waiting.priority]
        if queues[waiting.workspace].heap:
            return
        queue = queues.pop(waiting.workspace)
        kept_tags = self._kept_tags_by_class[waiting.priority]
        kept_tags[waiting.workspace] = queue.finish_tag
        if not queues:
            kept_tags.clear()


def _dispatch_order(queue: _WorkspaceQueue[T]) -> tuple[float, float, int]:
    deadline, sequence, _ = queue.heap[0]
    return queue.finish_tag, deadline, sequence
