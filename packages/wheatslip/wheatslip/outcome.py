"""Outcomes of a request.

A request has exactly one of three outcomes: it was answered, it was certainly not run, or it is
unknown whether it ran. The library returns them as values and never raises them.
"""

from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Why a request was not run, or why its outcome is unknown."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    NO_SUCH_SERVICE = "no-such-service"
    NO_ROUTE = "no-route"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    OVER_SHARE = "over-share"
    OVER_LIMIT = "over-limit"  # above the rate limit of its workspace
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    ZONE_EMPTIED = "zone-emptied"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    DUPLICATE = "duplicate"
    KEY_TOO_OLD = "key-too-old"
    NOT_KEY_OWNER = "not-key-owner"
    LEASE_LAPSED = "lease-lapsed"
    VERSION_BEHIND = "version-behind"
    NO_CONFIGURATION = "no-configuration"
    UNCONFIRMED = "unconfirmed"  # the configuration is too old to accept credentials
    WRONG_POOL = "wrong-pool"
    CONNECTION_LOST = "connection-lost"
    UNACKNOWLEDGED = "unacknowledged"  # the peer acknowledged none of the bytes sent
    BACKEND_FAILED = "backend-failed"
    SERVER_ENDED = "server-ended"  # the backend server ended while it ran the request
    ENDS_SERVERS = "ends-servers"  # held back because each server that ran the request ended
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"  # above the operator's limits
    TOO_SLOW = "too-slow"  # the caller took longer than the limits allow


# Reasons after which the request may be sent to another upstream; see the table in `attempts`.
RETRYABLE = frozenset(
    {
        Reason.OVERLOADED,
        Reason.DRAINING,
        Reason.UNREACHABLE,
        Reason.SHED,
        Reason.VERSION_BEHIND,
        Reason.NO_CONFIGURATION,
        Reason.NOT_KEY_OWNER,
        Reason.WRONG_POOL,
        Reason.NOT_READY,
        Reason.ZONE_EMPTIED,
    }
)


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server answered; `status` is its HTTP status."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run. `retry_after` is in seconds, None if it is not known;
    see the table in `retryafter`.
    """

    reason: Reason
    retry_after: float | None = None

    @property
    def is_retryable(self) -> bool:
        """Whether the request may be sent to another upstream."""
        return self.reason in RETRYABLE


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    reason: Reason


Outcome = Answered | NotRun | Unknown
