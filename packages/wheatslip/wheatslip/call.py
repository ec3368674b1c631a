"""A call: one request as the decisions see it, without its bytes."""

from dataclasses import dataclass
from enum import StrEnum

# Seconds, or a moment, where a wait has no bound.
ANY_WAIT = float("inf")


class CallClass(StrEnum):
    """How a call stands in a queue: urgent calls go first but earn no share."""

    NORMAL = "normal"
    URGENT = "urgent"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What a service's bundle says of a kind of request."""

    name: str
    repeatable: bool
    call_class: CallClass = CallClass.NORMAL


@dataclass(frozen=True, slots=True)
class Call:
    """One request on its way. Times are in seconds on the local monotonic clock.

    An answer after `target` is worth little, one after `deadline` nothing. It may wait for
    a backend server until `hold_until`, and while it may still meet its target; after that its
    caller rather hears a refusal. Without a bound it waits until its deadline.
    `request_id` is what the backend server echoes in its answer.
    """

    workspace: str
    service: str
    kind: RequestKind
    deadline: float
    key: str = ""
    depth: int = 0
    target: float = ANY_WAIT
    hold_until: float = ANY_WAIT
    max_attempts: int = 5
    request_id: str = ""

    def remaining(self, now: float) -> float:
        """Seconds left at `now`; not positive once the deadline has passed."""
        return self.deadline - now

    @property
    def call_class(self) -> CallClass:
        """The class of its kind."""
        return self.kind.call_class

    @property
    def runs_once_by_key(self) -> bool:
        """Whether the call's key binds it to run at most once, however often it is sent."""
        return bool(self.key) and not self.kind.repeatable

    @property
    def owned_key(self) -> str:
        """The key as it is owned: keys of different workspaces are different."""
        return f"{self.workspace}/{self.key}"
