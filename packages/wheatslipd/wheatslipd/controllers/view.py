"""What the request path knows of configuration and membership: replaced whole, never edited.

Controllers publish here; filters only read. All run in the loop's thread.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

from wheatslip.config.bundle import Bundle, Pool, Service, Workspace
from wheatslip.config.routes import RouteTable
from wheatslip.config.zonedrains import ZoneDrains
from wheatslip.store.instances import Instance
from wheatslip.upstream import Upstream

from wheatslipd.http.pool import ConnectionPool


@dataclass(slots=True, eq=False)
class Peer:
    """Another daemon (or this one) as a way to its backend server."""

    instance: Instance
    upstream: Upstream
    connections: ConnectionPool


class Configuration:
    """A bundle in force, indexed for look-ups."""

    def __init__(self, bundle: Bundle):
        self.version = bundle.version
        self.services: dict[str, Service] = {s.name: s for s in bundle.services}
        self.pools: dict[str, Pool] = {p.name: p for p in bundle.pools}
        self.routes = RouteTable(bundle.routes)
        self._by_credential = {w.credential_sha256: w for w in bundle.workspaces}

    def workspace_of(self, credential_sha256: str) -> Workspace | None:
        """The workspace that a credential's hash belongs to."""
        return self._by_credential.get(credential_sha256)


@dataclass(slots=True)
class Membership:
    """The peers by pool and by name."""

    pools: Mapping[str, tuple[Peer, ...]] = field(default_factory=dict)

    def peers(self, pool: str) -> tuple[Peer, ...]:
        """The peers of a pool."""
        return self.pools.get(pool, ())


@dataclass(slots=True)
class View:
    """The present state, as the request path sees it.

    `drains` are the zone drains; None: not known yet, so nothing may be sent. `known` is set
    once there are a configuration, the zone drains and a list of instances. At the start,
    requests wait for these until `expected_until` (seconds, monotonic).

    `leaving`: the backend server here takes no new work; the entry still forwards callers'
    requests to others. `stopping`: the health page and a "connection: close" on each answer
    ask callers to go elsewhere. `closed`: no request is taken any more.
    """

    configuration: Configuration | None = None
    membership: Membership = field(default_factory=Membership)
    drains: ZoneDrains | None = None
    leaving: bool = False
    stopping: bool = False
    closed: bool = False
    expected_until: float = float("-inf")
    known: asyncio.Event = field(default_factory=asyncio.Event)

    def note_known(self) -> None:
        """Set `known` if nothing is missing any more. To be called after each change."""
        if self.configuration is not None and self.drains is not None and self.membership.pools:
            self.known.set()

    def peers(self, pool: str) -> tuple[Peer, ...]:
        """The peers of a pool to which requests may go: those of drained zones are left out."""
        peers = self.membership.peers(pool)
        if self.drains is None or not self.drains.drains:
            return peers
        zones = self.drains.zones
        return tuple(peer for peer in peers if peer.upstream.zone not in zones)

    @property
    def version(self) -> int:
        """The bundle version in force here; 0 if none is."""
        return self.configuration.version if self.configuration else 0
