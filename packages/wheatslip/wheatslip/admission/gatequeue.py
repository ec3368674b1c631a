"""The queue of one gate: which requests wait, and in which order they start.

Between workspaces it is fair by their weights (`FairQueue`). Within a workspace the request
that is needed first starts first; one that will miss its target starts after all that may meet
theirs.
"""

from collections.abc import Iterator

from wheatslip.admission.ticket import Ticket
from wheatslip.call import CallClass
from wheatslip.fairqueue import FairQueue

# Seconds; added to the order of a late request, so that it comes after all that are not late.
# Larger than any monotonic clock's time; late requests keep their order among themselves.
LATE = 1e9


class GateQueue:
    """The waiting tickets, by workspace and by the time at which they are needed."""

    def __init__(self, urgent_share: float):
        """`urgent_share` bounds urgent starts, as a part of all, while others wait."""
        self._queue: FairQueue[Ticket] = FairQueue(urgent_share)

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._queue)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Weights of the workspaces, by name; one that is missing has weight 1."""
        self._queue.shares = shares

    def set_urgent_share(self, urgent_share: float) -> None:
        """Take a new bound on urgent starts."""
        self._queue.urgent_share = urgent_share

    def push(self, ticket: Ticket) -> None:
        """Add a ticket, ordered by the time it is needed; a late one comes after the others."""
        call = ticket.call
        order = LATE + call.deadline if ticket.late else min(call.deadline, call.target)
        urgent = call.call_class is CallClass.URGENT
        self._queue.push(call.workspace, order, ticket, urgent=urgent)

    def pop(self) -> Ticket | None:
        """Take the ticket that starts next; None if none waits."""
        return self._queue.pop()

    def remove(self, ticket: Ticket) -> bool:
        """Take out a waiting ticket; False if it is not there."""
        return self._queue.remove(ticket.call.workspace, ticket)

    def ahead_of(self, ticket_workspace: str, *, urgent: bool) -> int:
        """About how many tickets would start before a new one of a workspace."""
        return self._queue.ahead_of(ticket_workspace, urgent=urgent)

    def make_room(self, ticket: Ticket) -> bool:
        """Evict a ticket of the workspace that has most waiting for its share, so that `ticket`
        has room; False if that is its own workspace, or if it is urgent: urgent tickets are not
        in a workspace's queue, so there is no place to take.
        """
        if ticket.call.call_class is CallClass.URGENT:
            return False
        return self._queue.evict_for(ticket.call.workspace)

    def take_evicted(self) -> list[Ticket]:
        """The tickets evicted since the last call."""
        return self._queue.take_evicted()
