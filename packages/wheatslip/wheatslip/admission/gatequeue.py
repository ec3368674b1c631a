"""The queue of one gate.

The queue is fair between workspaces according to their weights (`FairQueue`). Within a
workspace the request with the earliest target or deadline starts first; requests that will miss
their target start after all others.
"""

from collections.abc import Iterator

from wheatslip.admission.ticket import Ticket
from wheatslip.call import CallClass
from wheatslip.fairqueue import FairQueue

# Orders late requests after all others; larger than any time of the monotonic clock.
LATE_OFFSET_SECONDS = 1e9


class GateQueue:
    """Waiting tickets by workspace and by target or deadline."""

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
        self._queue.push(call.workspace, order, ticket, urgent=urgent)

    def pop(self) -> Ticket | None:
        """Removes and returns the next ticket, or None if the queue is empty."""
        return self._queue.pop()

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns False if it is not in the queue."""
        return self._queue.remove(ticket.call.workspace, ticket)

    def count_ahead(self, workspace: str, *, urgent: bool) -> int:
        """Estimates how many tickets would start before a new one of `workspace`."""
        return self._queue.count_ahead(workspace, urgent=urgent)

    def evict_for(self, ticket: Ticket) -> bool:
        """Evicts a ticket of the workspace with the largest backlog relative to its share, to
        make space for `ticket`.

        Returns False without an eviction if that is its own workspace, or if `ticket` is
        urgent, since urgent tickets are in no workspace's queue.
        """
        if ticket.call.call_class is CallClass.URGENT:
            return False
        return self._queue.evict_for(ticket.call.workspace)

    def take_evicted(self) -> list[Ticket]:
        """Returns the tickets evicted since the last call."""
        return self._queue.take_evicted()
