"""The queue as it was before it had ranks, a reference for `wheatslip.fairqueue.FairQueue`.

Its order is the required one where all items have the common rank.
"""

import heapq
from collections.abc import Iterator
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")

MAX_IDLE_START_TAGS = 1000  # above this number, those that virtual time has passed are removed
MAX_URGENT_CREDIT = 2.0  # urgent items that may be dequeued in a row after a time without any


class _WorkspaceQueue(Generic[T]):
    """Items of one workspace by deadline. `start_tag` is the virtual time of its next item."""

    __slots__ = ("heap", "start_tag")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, T]] = []
        self.start_tag = 0.0


class OneRankQueue(Generic[T]):
    """Queued items of many workspaces."""

    def __init__(self, urgent_share: float):
        """`urgent_share` is the largest part of urgent items among those dequeued while others
        wait.
        """
        self.urgent_share = urgent_share
        self.shares: dict[str, float] = {}
        self._queues: dict[str, _WorkspaceQueue[T]] = {}
        # Start tags of workspaces without queued items, kept until virtual time reaches them.
        self._idle_start_tags: dict[str, float] = {}
        self._urgent: list[tuple[float, int, str, T]] = []
        self._sequence = count()
        self._virtual_time = 0.0
        self._urgent_credit = 1.0
        self._evicted: list[T] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[T]:
        for queue in self._queues.values():
            for _, _, item in queue.heap:
                yield item
        for _, _, _, item in self._urgent:
            yield item

    def push(self, workspace: str, deadline: float, item: T, *, urgent: bool = False) -> None:
        """Adds an item, ordered within its workspace by `deadline` (seconds)."""
        self._size += 1
        if urgent:
            heapq.heappush(self._urgent, (deadline, next(self._sequence), workspace, item))
            return
        queue = self._queues.get(workspace)
        if queue is None:
            queue = self._queues[workspace] = _WorkspaceQueue()
            queue.start_tag = max(self._virtual_time, self._idle_start_tags.pop(workspace, 0.0))
        heapq.heappush(queue.heap, (deadline, next(self._sequence), item))

    def pop(self) -> T | None:
        """Removes and returns the next item, or None if the queue is empty."""
        if self._urgent and (not self._queues or self._urgent_credit >= 1.0):
            self._urgent_credit = max(0.0, self._urgent_credit - 1.0)
            self._size -= 1
            return heapq.heappop(self._urgent)[3]
        if not self._queues:
            return None
        # Each item that is not urgent adds credit for urgent ones, up to their share.
        credit = self.urgent_share / max(1e-9, 1.0 - self.urgent_share)
        self._urgent_credit = min(MAX_URGENT_CREDIT, self._urgent_credit + credit)
        workspace = min(self._queues, key=lambda name: self._queues[name].start_tag)
        return self._pop_from(workspace)

    def count_ahead(self, workspace: str, *, urgent: bool = False) -> int:
        """Estimates how many items would be dequeued before a new one of `workspace`."""
        if urgent:
            return len(self._urgent)
        own_queue = self._queues.get(workspace)
        backlog = len(own_queue.heap) if own_queue else 0
        rounds = (backlog + 1) / self._share(workspace)
        ahead = backlog + len(self._urgent)
        for name, queue in self._queues.items():
            if name != workspace:
                ahead += min(len(queue.heap), int(rounds * self._share(name)))
        return ahead

    def remove(self, workspace: str, item: T) -> bool:
        """Removes a queued item; returns False if it is not in the queue."""
        queue = self._queues.get(workspace)
        if queue is not None:
            for index, entry in enumerate(queue.heap):
                if entry[2] is item:
                    self._delete(queue.heap, index)
                    self._remove_if_empty(workspace, queue)
                    return True
        for index, urgent_entry in enumerate(self._urgent):
            if urgent_entry[3] is item:
                self._delete(self._urgent, index)
                return True
        return False

    def evict_for(self, workspace: str) -> bool:
        """Evicts an item to make space for one of `workspace`.

        Evicts the item with the latest deadline from the workspace with the largest backlog
        relative to its share; `take_evicted` returns it. Returns False without an eviction if
        `workspace` has the largest backlog itself.
        """
        if not self._queues:
            return False
        largest_workspace = max(self._queues, key=self._backlog)
        own_queue = self._queues.get(workspace)
        own_backlog = (len(own_queue.heap) + 1 if own_queue else 1) / self._share(workspace)
        if largest_workspace == workspace or self._backlog(largest_workspace) <= own_backlog:
            return False
        queue = self._queues[largest_workspace]
        index = max(range(len(queue.heap)), key=lambda i: queue.heap[i][:2])
        self._evicted.append(queue.heap[index][2])
        self._delete(queue.heap, index)
        self._remove_if_empty(largest_workspace, queue)
        return True

    def take_evicted(self) -> list[T]:
        """Returns the items evicted since the last call."""
        evicted_items, self._evicted = self._evicted, []
        return evicted_items

    def _share(self, workspace: str) -> float:
        return self.shares.get(workspace, 1.0)

    def _backlog(self, workspace: str) -> float:
        return len(self._queues[workspace].heap) / self._share(workspace)

    def _pop_from(self, workspace: str) -> T:
        queue = self._queues[workspace]
        self._virtual_time = queue.start_tag
        queue.start_tag += 1.0 / self._share(workspace)
        item = heapq.heappop(queue.heap)[2]
        self._size -= 1
        self._remove_if_empty(workspace, queue)
        return item

    def _remove_if_empty(self, workspace: str, queue: _WorkspaceQueue[T]) -> None:
        if queue.heap:
            return
        del self._queues[workspace]
        if queue.start_tag > self._virtual_time:
            self._idle_start_tags[workspace] = queue.start_tag
        if len(self._idle_start_tags) > MAX_IDLE_START_TAGS:
            now = self._virtual_time
            self._idle_start_tags = {
                name: tag for name, tag in self._idle_start_tags.items() if tag > now
            }

    def _delete(self, heap: list, index: int) -> None:  # type: ignore[type-arg]
        heap[index] = heap[-1]
        heap.pop()
        heapq.heapify(heap)
        self._size -= 1
