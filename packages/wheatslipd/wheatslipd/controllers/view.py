"""The state of configuration and membership that the request path reads.

Controllers replace whole objects and do not modify a published one. All readers and writers run
in the event loop's thread.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from msgspec import UnsetType
from wheatslip.config.bundle import Bundle, CallerLimits, Pool, Service, Workspace
from wheatslip.config.routes import RouteTable
from wheatslip.config.zonedrains import ZoneDrains
from wheatslip.store.instances import Instance
from wheatslip.upstream import Upstream

from wheatslipd.http.bounds import DEFAULT_LIMITS, RequestLimits
from wheatslipd.http.pool import ConnectionPool


@dataclass(slots=True, eq=False)
class Peer:
    """A daemon, possibly this one, through which its backend server is reached."""

    instance: Instance
    upstream: Upstream
    connections: ConnectionPool


class Configuration:
    """A bundle in force, indexed for lookups."""

    def __init__(self, bundle: Bundle):
        self.version = bundle.version
        self.services: dict[str, Service] = {s.name: s for s in bundle.services}
        self.pools: dict[str, Pool] = {p.name: p for p in bundle.pools}
        self.routes = RouteTable(bundle.routes)
        self._by_credential = {c: w for w in bundle.workspaces for c in w.credentials}
        self.requires_credentials = bundle.requires_credentials
        self.limits = _convert_limits(bundle.limits)

    def workspace_of(self, credential_sha256: str) -> Workspace | None:
        return self._by_credential.get(credential_sha256)


@dataclass(slots=True)
class Membership:
    """The peers by pool."""

    pools: Mapping[str, tuple[Peer, ...]] = field(default_factory=dict)

    def peers(self, pool: str) -> tuple[Peer, ...]:
        return self.pools.get(pool, ())


@dataclass(slots=True)
class View:
    """The current state, as the request path reads it.

    Nothing may be sent while `drains` is None (not received yet). `initialized` is set once a
    configuration, the zone drains and an instance list are present. At the start, requests wait
    for these until `startup_deadline` (seconds, monotonic clock).

    `leaving`: the local backend server accepts no new requests; the entry still forwards
    requests to other backend servers. `stopping`: the health page and a "connection: close"
    header on each response ask callers to use another daemon. At `stop_ends_at` (monotonic
    seconds) all connections are closed; infinite until the ports stop listening.
    """

    configuration: Configuration | None = None
    membership: Membership = field(default_factory=Membership)
    drains: ZoneDrains | None = None
    leaving: bool = False
    stopping: bool = False
    stop_ends_at: float = float("inf")
    startup_deadline: float = float("-inf")
    initialized: asyncio.Event = field(default_factory=asyncio.Event)

    def update_initialized(self) -> None:
        """Set `initialized` if all parts are present. Must be called after each change."""
        if self.configuration is not None and self.drains is not None and self.membership.pools:
            self.initialized.set()

    def peers(self, pool: str) -> tuple[Peer, ...]:
        """Return the eligible peers of a pool: those that are not in a drained zone."""
        peers = self.membership.peers(pool)
        if self.drains is None or not self.drains.drains:
            return peers
        zones = self.drains.zones
        return tuple(peer for peer in peers if peer.upstream.zone not in zones)

    @property
    def limits(self) -> RequestLimits:
        """What callers may send, by the configuration in force."""
        return self.configuration.limits if self.configuration else DEFAULT_LIMITS

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 if there is none."""
        return self.configuration.version if self.configuration else 0


def _convert_limits(limits: CallerLimits | UnsetType) -> RequestLimits:
    """The limits to enforce; what the bundle does not limit has the default."""
    if isinstance(limits, UnsetType):
        return DEFAULT_LIMITS
    return RequestLimits(
        limits.header_bytes or DEFAULT_LIMITS.head_bytes,
        limits.body_bytes or DEFAULT_LIMITS.body_bytes,
        limits.header_timeout or DEFAULT_LIMITS.head_seconds,
        limits.idle_timeout or DEFAULT_LIMITS.idle_seconds,
    )
