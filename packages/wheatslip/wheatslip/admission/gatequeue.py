"""The queue of one gate.

The lowest rank starts first. Within a rank the queue is fair between workspaces according to
their weights (`FairQueue`). Within a workspace the request with the earliest target or deadline
starts first; requests that will miss their target start after all others.
"""

from collections.abc import Iterator

from wheatslip.admission.ticket import Ticket
from wheatslip.call import Call, CallClass
from wheatslip.fairqueue import FairQueue

# Orders late requests after all others; larger than any time of the monotonic clock.
LATE_OFFSET_SECONDS = 1e9


class GateQueue:
    """Waiting tickets by rank, by workspace and by target or deadline."""

    def __init__(self, urgent_share: float):
        """`urgent_share` is the largest part of urgent starts while other requests wait."""
        self._queue: FairQueue[Ticket] = FairQueue(urgent_share)

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._queue)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Sets the weights of the workspaces by name; a missing one has weight 1."""
        self._queue.shares = shares

    def set_urgent_share(self, urgent_share: float) -> None:
        self._queue.urgent_share = urgent_share

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket; a late one is ordered after all that are not late."""
        call = ticket.call
        order = (
            LATE_OFFSET_SECONDS + call.deadline
            if ticket.is_late
            else min(call.deadline, call.target)
        )
        urgent = call.call_class is CallClass.URGENT
        self._queue.push(call.workspace, order, ticket, urgent=urgent, rank=call.rank)

    def pop(self) -> Ticket | None:
        """Removes and returns the next ticket, or None if the queue is empty."""
        return self._queue.pop()

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns False if it is not in the queue."""
        call = ticket.call
        return self._queue.remove(call.workspace, ticket, rank=call.rank)

    def count_ahead(self, call: Call) -> int:
        """Estimates how many tickets would start before one of `call` that arrives now."""
        urgent = call.call_class is CallClass.URGENT
        return self._queue.count_ahead(call.workspace, urgent=urgent, rank=call.rank)

    def count_before_last(self) -> int:
        """Estimates how many tickets start before the last one of the last rank."""
        return self._queue.count_before_last()

    def last_behind(self, call: Call) -> Ticket | None:
        """Returns the ticket to refuse first for `call`, if one of a rank behind it waits.

        All ranks are behind an urgent call.
        """
        rank = None if call.call_class is CallClass.URGENT else call.rank
        return self._queue.last_behind(rank)

    def evict_for(self, ticket: Ticket) -> bool:
        """Evicts a ticket of the same rank, from the workspace with the largest backlog there
        relative to its share, to make space for `ticket`.

        Returns False without an eviction if that is its own workspace, or if `ticket` is
        urgent, since urgent tickets are in no workspace's queue.
        """
        call = ticket.call
        if call.call_class is CallClass.URGENT:
            return False
        return self._queue.evict_for(call.workspace, rank=call.rank)

    def take_evicted(self) -> list[Ticket]:
        """Returns the tickets evicted since the last call."""
        return self._queue.take_evicted()
