"""A queue that is fair between workspaces: start-time fair queueing over deadline order.

Urgent items go first, within a bounded share of the starts; they count for no workspace's
share. Within one workspace the item with the earliest deadline goes first.
"""

import heapq
from collections.abc import Iterator
from itertools import count
from typing import Generic, TypeVar

T = TypeVar("T")

# Workspaces whose place in virtual time is remembered before those that have caught up are
# dropped; fewer only drop them more often.
MAX_LEFT_OFF = 1000
# Urgent starts that may be saved up while none waits. More would let a burst of urgent items
# hold up the others for longer.
MAX_URGENT_CREDIT = 2.0


class _Lane(Generic[T]):
    """One workspace's items by deadline. `start_tag` is its place in virtual time."""

    __slots__ = ("heap", "start_tag")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, T]] = []
        self.start_tag = 0.0


class FairQueue(Generic[T]):
    """Waiting items of many workspaces."""

    def __init__(self, urgent_share: float):
        """`urgent_share` bounds urgent starts, as a part of all, while others wait."""
        self.urgent_share = urgent_share
        self.shares: dict[str, float] = {}
        self._lanes: dict[str, _Lane[T]] = {}
        # Where workspaces that have nothing waiting left off in virtual time.
        self._left_off: dict[str, float] = {}
        self._urgent: list[tuple[float, int, str, T]] = []
        self._sequence = count()
        self._virtual_time = 0.0
        self._urgent_credit = 1.0
        self._evicted: list[T] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[T]:
        for lane in self._lanes.values():
            for _, _, item in lane.heap:
                yield item
        for _, _, _, item in self._urgent:
            yield item

    def push(self, workspace: str, deadline: float, item: T, *, urgent: bool = False) -> None:
        """Add an item; `deadline` in seconds orders it within its workspace."""
        self._size += 1
        if urgent:
            heapq.heappush(self._urgent, (deadline, next(self._sequence), workspace, item))
            return
        lane = self._lanes.get(workspace)
        if lane is None:
            lane = self._lanes[workspace] = _Lane()
            lane.start_tag = max(self._virtual_time, self._left_off.pop(workspace, 0.0))
        heapq.heappush(lane.heap, (deadline, next(self._sequence), item))

    def pop(self) -> T | None:
        """The item that goes next, None if none waits."""
        if self._urgent and (not self._lanes or self._urgent_credit >= 1.0):
            self._urgent_credit = max(0.0, self._urgent_credit - 1.0)
            self._size -= 1
            return heapq.heappop(self._urgent)[3]
        if not self._lanes:
            return None
        # Each normal start earns the urgent ones their bounded part.
        earned = self.urgent_share / max(1e-9, 1.0 - self.urgent_share)
        self._urgent_credit = min(MAX_URGENT_CREDIT, self._urgent_credit + earned)
        workspace = min(self._lanes, key=lambda name: self._lanes[name].start_tag)
        return self._pop_lane(workspace)

    def ahead_of(self, workspace: str, *, urgent: bool = False) -> int:
        """How many items would go before a new one of `workspace`, about."""
        if urgent:
            return len(self._urgent)
        own = self._lanes.get(workspace)
        backlog = len(own.heap) if own else 0
        starts = (backlog + 1) / self._share(workspace)
        ahead = backlog + len(self._urgent)
        for name, lane in self._lanes.items():
            if name != workspace:
                ahead += min(len(lane.heap), int(starts * self._share(name)))
        return ahead

    def remove(self, workspace: str, item: T) -> bool:
        """Take out a waiting item; False if it is not there."""
        lane = self._lanes.get(workspace)
        if lane is not None:
            for index, entry in enumerate(lane.heap):
                if entry[2] is item:
                    self._delete(lane.heap, index)
                    self._forget_if_empty(workspace, lane)
                    return True
        for index, urgent_entry in enumerate(self._urgent):
            if urgent_entry[3] is item:
                self._delete(self._urgent, index)
                return True
        return False

    def evict_for(self, workspace: str) -> bool:
        """Make room for an item of `workspace` at the cost of the one with most waiting for its
        share.

        False if that would be `workspace` itself. The evicted item is the one with the
        latest deadline; see `take_evicted`.
        """
        if not self._lanes:
            return False
        longest = max(self._lanes, key=self._backlog)
        own = self._lanes.get(workspace)
        own_backlog = (len(own.heap) + 1 if own else 1) / self._share(workspace)
        if longest == workspace or self._backlog(longest) <= own_backlog:
            return False
        lane = self._lanes[longest]
        index = max(range(len(lane.heap)), key=lambda i: lane.heap[i][:2])
        self._evicted.append(lane.heap[index][2])
        self._delete(lane.heap, index)
        self._forget_if_empty(longest, lane)
        return True

    def take_evicted(self) -> list[T]:
        """The items evicted since the last call."""
        evicted, self._evicted = self._evicted, []
        return evicted

    def _share(self, workspace: str) -> float:
        return self.shares.get(workspace, 1.0)

    def _backlog(self, workspace: str) -> float:
        return len(self._lanes[workspace].heap) / self._share(workspace)

    def _pop_lane(self, workspace: str) -> T:
        lane = self._lanes[workspace]
        self._virtual_time = lane.start_tag
        lane.start_tag += 1.0 / self._share(workspace)
        item = heapq.heappop(lane.heap)[2]
        self._size -= 1
        self._forget_if_empty(workspace, lane)
        return item

    def _forget_if_empty(self, workspace: str, lane: _Lane[T]) -> None:
        if lane.heap:
            return
        del self._lanes[workspace]
        if lane.start_tag > self._virtual_time:
            self._left_off[workspace] = lane.start_tag
        if len(self._left_off) > MAX_LEFT_OFF:
            now = self._virtual_time
            self._left_off = {name: tag for name, tag in self._left_off.items() if tag > now}

    def _delete(self, heap: list, index: int) -> None:  # type: ignore[type-arg]
        heap[index] = heap[-1]
        heap.pop()
        heapq.heapify(heap)
        self._size -= 1
