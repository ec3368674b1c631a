"""A queue that serves ranks in order, and workspaces by start-time fair queueing within each.

The items of one workspace and rank are ordered by deadline. Urgent items are dequeued first, up
to a bounded share of all items; they don't count for the share of their workspace. Ranks that
wait behind the first one get a small share of the other items, so that none starves.
"""

import heapq
from bisect import insort
from collections.abc import Callable, Iterator
from itertools import count
from typing import Generic, TypeVar

from wheatslip.call import COMMON_RANK, Rank

T = TypeVar("T")

MAX_IDLE_START_TAGS = 1000  # above this number, those that virtual time has passed are removed
MAX_URGENT_CREDIT = 2.0  # urgent items that may be dequeued in a row after a time without any
# Items of the first rank after which one of the ranks behind it is dequeued.
FIRST_RANK_RUN = 9
MIN_TURN_SHARE = 0.02  # assumed at least; limits the estimate after a time without turns
TURN_WEIGHT = 0.05  # of one item in the moving average of a rank's turns
MAX_IDLE_RANKS = 100  # above this number, those without items are removed
SPARE_ORDER_ENTRIES = 16  # entries of removed workspaces that are kept until they are reached


class _WorkspaceQueue(Generic[T]):
    """Items of one workspace by deadline. `start_tag` is the virtual time of its next item."""

    __slots__ = ("heap", "name", "start_tag")

    def __init__(self, name: str, start_tag: float) -> None:
        self.name = name
        self.heap: list[tuple[float, int, T]] = []
        self.start_tag = start_tag

    @property
    def last_index(self) -> int:
        """Index of the item with the latest deadline."""
        return max(range(len(self.heap)), key=lambda i: self.heap[i][:2])


class _RankQueue(Generic[T]):
    """Items of one rank, dequeued by start-time fair queueing between workspaces."""

    def __init__(self, share: Callable[[str], float]):
        self._share = share  # weight of a workspace by its name
        self.size = 0
        self.credit = 0.0  # in the round robin between the ranks behind the first one
        # Recent part of this rank's items among those of ranks up to this one, while it waits.
        self.turn_share = 1.0
        self._queues: dict[str, _WorkspaceQueue[T]] = {}
        # Heap of the queues by start tag, older queues first. A queue that has become empty is
        # never used again; its entry is dropped when it is reached.
        self._order: list[tuple[float, int, _WorkspaceQueue[T]]] = []
        self._sequence = count()
        # Start tags of workspaces without queued items, kept until virtual time reaches them.
        self._idle_start_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __iter__(self) -> Iterator[T]:
        for queue in self._queues.values():
            for _, _, item in queue.heap:
                yield item

    def push(self, workspace: str, entry: tuple[float, int, T]) -> None:
        self.size += 1
        queue = self._queues.get(workspace)
        if queue is None:
            start_tag = max(self._virtual_time, self._idle_start_tags.pop(workspace, 0.0))
            queue = self._queues[workspace] = _WorkspaceQueue(workspace, start_tag)
            heapq.heappush(self._order, (start_tag, next(self._sequence), queue))
        heapq.heappush(queue.heap, entry)

    def pop(self) -> T:
        """Removes and returns the next item; the queue must not be empty."""
        while not self._order[0][2].heap:
            heapq.heappop(self._order)
        start_tag, sequence, queue = self._order[0]
        self._virtual_time = start_tag
        queue.start_tag += 1.0 / self._share(queue.name)
        item = heapq.heappop(queue.heap)[2]
        self.size -= 1
        if queue.heap:
            heapq.heapreplace(self._order, (queue.start_tag, sequence, queue))
        else:
            heapq.heappop(self._order)
            self._remove_queue(queue)
        return item

    def count_ahead(self, workspace: str) -> int:
        """Estimates how many items would be dequeued before a new one of `workspace`."""
        own_queue = self._queues.get(workspace)
        backlog = len(own_queue.heap) if own_queue else 0
        rounds = (backlog + 1) / self._share(workspace)
        ahead = backlog
        for name, queue in self._queues.items():
            if name != workspace:
                ahead += min(len(queue.heap), int(rounds * self._share(name)))
        return ahead

    def remove(self, workspace: str, item: T) -> bool:
        """Removes an item; returns False if it is not in the queue."""
        queue = self._queues.get(workspace)
        if queue is None:
            return False
        for index, entry in enumerate(queue.heap):
            if entry[2] is item:
                self._delete(queue, index)
                return True
        return False

    def last(self) -> T:
        """Returns the item with the latest deadline of the workspace with the largest backlog
        relative to its share; the queue must not be empty.
        """
        queue = self._largest_queue()
        return queue.heap[queue.last_index][2]

    def evict(self) -> T:
        """Removes and returns the item that `last` returns."""
        queue = self._largest_queue()
        index = queue.last_index
        item = queue.heap[index][2]
        self._delete(queue, index)
        return item

    def has_larger_backlog(self, workspace: str) -> bool:
        """Whether another workspace has a larger backlog relative to its share than
        `workspace` with one more item.
        """
        largest_queue = self._largest_queue()
        own_queue = self._queues.get(workspace)
        own_backlog = (len(own_queue.heap) + 1 if own_queue else 1) / self._share(workspace)
        return largest_queue is not own_queue and self._backlog(largest_queue) > own_backlog

    def _largest_queue(self) -> _WorkspaceQueue[T]:
        return max(self._queues.values(), key=self._backlog)

    def _backlog(self, queue: _WorkspaceQueue[T]) -> float:
        return len(queue.heap) / self._share(queue.name)

    def _delete(self, queue: _WorkspaceQueue[T], index: int) -> None:
        _delete_from_heap(queue.heap, index)
        self.size -= 1
        if not queue.heap:
            self._remove_queue(queue)
            if len(self._order) > 2 * len(self._queues) + SPARE_ORDER_ENTRIES:
                self._order = [entry for entry in self._order if entry[2].heap]
                heapq.heapify(self._order)

    def _remove_queue(self, queue: _WorkspaceQueue[T]) -> None:
        """Removes an empty queue of a workspace."""
        del self._queues[queue.name]
        if queue.start_tag > self._virtual_time:
            self._idle_start_tags[queue.name] = queue.start_tag
        if len(self._idle_start_tags) > MAX_IDLE_START_TAGS:
            now = self._virtual_time
            self._idle_start_tags = {
                name: tag for name, tag in self._idle_start_tags.items() if tag > now
            }


class FairQueue(Generic[T]):
    """Queued items of many workspaces and ranks."""

    def __init__(self, urgent_share: float):
        """`urgent_share` is the largest part of urgent items among those dequeued while others
        wait.
        """
        self.urgent_share = urgent_share
        self.shares: dict[str, float] = {}
        self._ranks: dict[Rank, _RankQueue[T]] = {}
        self._waiting_ranks: list[Rank] = []  # those with queued items, the first one first
        self._first_rank_run = 0  # items of the first rank since the last of one behind it
        self._urgent: list[tuple[float, int, T]] = []
        self._sequence = count()
        self._urgent_credit = 1.0
        self._evicted: list[T] = []

    def __len__(self) -> int:
        return len(self._urgent) + sum(self._ranks[rank].size for rank in self._waiting_ranks)

    def __iter__(self) -> Iterator[T]:
        for rank in self._waiting_ranks:
            yield from self._ranks[rank]
        for _, _, item in self._urgent:
            yield item

    def push(
        self,
        workspace: str,
        deadline: float,
        item: T,
        *,
        urgent: bool = False,
        rank: Rank = COMMON_RANK,
    ) -> None:
        """Adds an item, ordered within its workspace and rank by `deadline` (seconds)."""
        entry = (deadline, next(self._sequence), item)
        if urgent:
            heapq.heappush(self._urgent, entry)
            return
        queue = self._ranks.get(rank)
        if queue is None:
            self._remove_idle_ranks()
            queue = self._ranks[rank] = _RankQueue(self._share)
        if not queue.size:
            insort(self._waiting_ranks, rank)
        queue.push(workspace, entry)

    def pop(self) -> T | None:
        """Removes and returns the next item, or None if the queue is empty."""
        if self._urgent and (not self._waiting_ranks or self._urgent_credit >= 1.0):
            self._urgent_credit = max(0.0, self._urgent_credit - 1.0)
            return heapq.heappop(self._urgent)[2]
        if not self._waiting_ranks:
            return None
        # Each item that is not urgent adds credit for urgent ones, up to their share.
        credit = self.urgent_share / max(1e-9, 1.0 - self.urgent_share)
        max_credit = max(MAX_URGENT_CREDIT, credit)
        self._urgent_credit = min(max_credit, self._urgent_credit + credit)
        rank = self._next_rank()
        self._update_turn_shares(rank)
        item = self._ranks[rank].pop()
        self._on_removed(rank)
        return item

    def count_ahead(
        self, workspace: str, *, urgent: bool = False, rank: Rank = COMMON_RANK
    ) -> int:
        """Estimates how many items would be dequeued before a new one of `workspace`."""
        if urgent:
            return len(self._urgent)
        queue = self._ranks.get(rank)
        if queue is None or not queue.size:
            return len(self._urgent) + self._count_before_rank(rank, 0)
        return len(self._urgent) + self._count_before_rank(rank, queue.count_ahead(workspace))

    def count_before_last(self) -> int:
        """Estimates how many items are dequeued before the last one of the last rank."""
        if not self._waiting_ranks:
            return len(self._urgent)
        last_rank = self._waiting_ranks[-1]
        own_ahead = self._ranks[last_rank].size - 1
        return len(self._urgent) + self._count_before_rank(last_rank, own_ahead)

    def _count_before_rank(self, rank: Rank, own_ahead: int) -> int:
        """Estimates how many items of all ranks are dequeued before one of `rank` with
        `own_ahead` others of the same rank before it.

        Items of ranks before it continue to arrive, so its turns stay as rare as they are.
        """
        queue = self._ranks.get(rank)
        turn_share = queue.turn_share if queue is not None else 1.0
        ahead = own_ahead + sum(
            self._ranks[other].size for other in self._waiting_ranks if other < rank
        )
        behind = sum(self._ranks[other].size for other in self._waiting_ranks if other > rank)
        ahead += min(behind, ahead // FIRST_RANK_RUN)
        return max(ahead, int(own_ahead / max(MIN_TURN_SHARE, turn_share)))

    def remove(self, workspace: str, item: T, *, rank: Rank = COMMON_RANK) -> bool:
        """Removes a queued item; returns False if it is not in the queue."""
        queue = self._ranks.get(rank)
        if queue is not None and queue.remove(workspace, item):
            self._on_removed(rank)
            return True
        for index, urgent_entry in enumerate(self._urgent):
            if urgent_entry[2] is item:
                _delete_from_heap(self._urgent, index)
                return True
        return False

    def last_behind(self, rank: Rank | None) -> T | None:
        """Returns the item to evict for one of `rank` (None: an urgent one), if one of a rank
        behind it is queued.

        It has the latest deadline of the workspace that has, in the last rank, the largest
        backlog relative to its share.
        """
        if not self._waiting_ranks:
            return None
        last_rank = self._waiting_ranks[-1]
        if rank is not None and last_rank <= rank:
            return None
        return self._ranks[last_rank].last()

    def evict_for(self, workspace: str, *, rank: Rank = COMMON_RANK) -> bool:
        """Evicts an item of `rank` to make space for one of `workspace` and the same rank.

        Evicts the item with the latest deadline from the workspace with the largest backlog
        relative to its share; `take_evicted` returns it. Returns False without an eviction if
        no item of `rank` is queued, or if `workspace` has the largest backlog itself.
        """
        queue = self._ranks.get(rank)
        if queue is None or not queue.size or not queue.has_larger_backlog(workspace):
            return False
        self._evicted.append(queue.evict())
        self._on_removed(rank)
        return True

    def take_evicted(self) -> list[T]:
        """Returns the items evicted since the last call."""
        evicted_items, self._evicted = self._evicted, []
        return evicted_items

    def _share(self, workspace: str) -> float:
        return self.shares.get(workspace, 1.0)

    def _next_rank(self) -> Rank:
        """Returns the rank of the next item that is not urgent."""
        if len(self._waiting_ranks) == 1:
            return self._waiting_ranks[0]
        if self._first_rank_run < FIRST_RANK_RUN:
            self._first_rank_run += 1
            return self._waiting_ranks[0]
        self._first_rank_run = 0
        # Smooth weighted round robin between the ranks behind; the n-th has weight 1 / n.
        total_weight = 0.0
        for position, rank in enumerate(self._waiting_ranks[1:], 1):
            self._ranks[rank].credit += 1.0 / position
            total_weight += 1.0 / position
        chosen_rank = max(self._waiting_ranks[1:], key=lambda rank: self._ranks[rank].credit)
        self._ranks[chosen_rank].credit -= total_weight
        return chosen_rank

    def _update_turn_shares(self, popped_rank: Rank) -> None:
        for rank in self._waiting_ranks:
            if rank >= popped_rank:
                queue = self._ranks[rank]
                turn = 1.0 if rank == popped_rank else 0.0
                queue.turn_share += TURN_WEIGHT * (turn - queue.turn_share)

    def _on_removed(self, rank: Rank) -> None:
        """Handles the removal of an item of `rank`."""
        queue = self._ranks[rank]
        if not queue.size:
            queue.turn_share = 1.0
            self._waiting_ranks.remove(rank)

    def _remove_idle_ranks(self) -> None:
        if len(self._ranks) > MAX_IDLE_RANKS:
            self._ranks = {rank: queue for rank, queue in self._ranks.items() if queue.size}


def _delete_from_heap(heap: list[tuple[float, int, T]], index: int) -> None:
    heap[index] = heap[-1]
    heap.pop()
    heapq.heapify(heap)
