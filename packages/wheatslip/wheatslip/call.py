"""A call: one request as the decisions see it, without its bytes."""

from dataclasses import dataclass
from enum import StrEnum

# Seconds, or a moment, where a wait has no bound.
ANY_WAIT = float("inf")


class CallClass(StrEnum):
    """The class of a call in a queue: urgent calls go first but earn no share."""

    NORMAL = "normal"
    URGENT = "urgent"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request, as the bundle defines it for a service."""

    name: str
    repeatable: bool
    call_class: CallClass = CallClass.NORMAL


@dataclass(frozen=True, slots=True)
class Call:
    """One request on its way. Moments are in seconds on the local monotonic clock."""

    workspace: str
    service: str
    kind: RequestKind
    deadline: float  # an answer after it is worth nothing
    key: str = ""  # of a call that is to run at most once, however often it is sent
    depth: int = 0  # calls that led to this one, each made while serving the one before
    target: float = ANY_WAIT  # an answer after it is worth little
    # Until this moment it may wait for a backend server, as long as it can still meet its
    # target. After that a refusal serves its caller better. Without a bound it may wait until
    # its deadline.
    hold_until: float = ANY_WAIT
    max_attempts: int = 5  # tries that may reach a backend server
    request_id: str = ""  # what the backend server echoes in its answer

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
