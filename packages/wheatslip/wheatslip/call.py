"""Metadata of one request, used by admission, routing and retry decisions."""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from wheatslip.decoding import Int64

# Value of a duration or a time in seconds that is not limited.
UNLIMITED = float("inf")


class CallClass(StrEnum):
    """Scheduling class of a call: urgent calls start first and don't count for the fair share
    of their workspace.
    """

    NORMAL = "normal"
    URGENT = "urgent"


class Rank(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Order in which requests are served when capacity is short; the lowest goes first.

    The priority of the workspace goes before that of the route.
    """

    workspace_priority: Int64 = 0
    route_priority: Int64 = 0


COMMON_RANK = Rank()  # of all requests where the configuration holds no credentials


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that the configuration bundle defines for a service."""

    name: str
    repeatable: bool
    call_class: CallClass = CallClass.NORMAL


@dataclass(frozen=True, slots=True)
class Call:
    """One request in progress. Times are in seconds on the local monotonic clock."""

    workspace: str
    service: str
    kind: RequestKind
    deadline: float  # the caller ignores a later response
    key: str = ""  # idempotency key; empty if there is none
    depth: int = 0  # length of the chain of nested calls that led to this one
    target: float = UNLIMITED  # a response after this time has little value for the caller
    # Time until which the call may wait for a backend server, provided that it can still meet
    # its target; later a refusal is better for the caller. If unlimited, the call may wait
    # until its deadline.
    hold_until: float = UNLIMITED
    max_attempts: int = 5  # attempts that may reach a backend server
    request_id: str = ""  # the backend server repeats it in its response
    rank: Rank = COMMON_RANK

    def remaining(self, now: float) -> float:
        """Seconds from `now` to the deadline; zero or negative after it."""
        return self.deadline - now

    @property
    def call_class(self) -> CallClass:
        return self.kind.call_class

    @property
    def is_at_most_once(self) -> bool:
        """Whether its key limits the call to one execution, even if it is sent repeatedly."""
        return bool(self.key) and not self.kind.repeatable

    @property
    def qualified_key(self) -> str:
        """The key with its workspace, since keys are unique only within one workspace."""
        return f"{self.workspace}/{self.key}"
