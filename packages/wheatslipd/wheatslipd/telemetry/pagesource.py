"""Content of the operators' pages."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec


class HeldRequest(msgspec.Struct, frozen=True):
    """A request that is refused because servers ended while running it."""

    fingerprint: str
    service: str
    last_end: float  # when a server last ended while running it, in Unix seconds
    held_for: float  # remaining seconds, if no other server ends


class QuotaStatus(msgspec.Struct, frozen=True):
    """A workspace with a limit: its use at this entry, and what this daemon granted of it."""

    workspace: str
    rate: float  # requests a second
    burst: float
    owner: str  # the daemon that answered this entry last; empty: none was asked yet
    used: int  # requests of this entry that took a token
    refused: int  # requests of this entry
    granted: int  # tokens that this daemon granted, to its own entry too


class Status(msgspec.Struct, frozen=True):
    """The JSON object of the status page."""

    name: str
    zone: str
    pool: str
    entry_port: int
    peer_port: int
    version: int
    ready: bool
    draining: bool
    in_flight: int
    queued: int
    limit: int
    members: int
    platform_calls: int
    watches: bool
    parent: str  # the daemon that this one follows; empty: none
    head_age: float | None  # seconds, see `Feed.head_age`
    emptied_zones: tuple[str, ...]  # drained zones known to this daemon
    cold: bool  # whether the backend server is cold and its request rate is limited
    followers: int
    relay_bytes: int
    held_requests: tuple[HeldRequest, ...]
    suspects: int  # requests that servers ran when they ended, including the held ones
    # Only if there is a workspace with a limit.
    quotas: tuple[QuotaStatus, ...] | msgspec.UnsetType = msgspec.UNSET


@dataclass(slots=True)
class PageSource:
    """Functions that the pages call."""

    status: Callable[[], Status]
    metrics: Callable[[], bytes]
    # Takes a fingerprint and lets the held request run again; returns whether it was held.
    lift: Callable[[str], bool] = lambda fingerprint: False
    may_lift: bool = True  # for anyone who reaches the port
