"""Builds the status and metrics pages from the daemon's current state."""

import msgspec

from wheatslipd.feed.feed import Feed
from wheatslipd.gate.serverside import ServerSide
from wheatslipd.http.bounds import DaemonBounds
from wheatslipd.http.server import Server
from wheatslipd.quota.report import QuotaReport
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry.pagesource import HeldRequest, Status


class StateReport:
    """Reads the status and metrics of one daemon on request."""

    def __init__(
        self,
        settings: Settings,
        shared: SharedState,
        entry_server: Server,
        peer_server: Server,
        server_side: ServerSide,
        feed: Feed,
        quotas: QuotaReport,
        bounds: DaemonBounds,
    ):
        self._settings = settings
        self._shared = shared
        self._view = shared.view
        self._entry_server = entry_server
        self._peer_server = peer_server
        self._server_side = server_side
        self._feed = feed
        self._quotas = quotas
        self._bounds = bounds

    def status(self) -> Status:
        """Return the content of the status page."""
        settings = self._settings
        view = self._view
        feed = self._feed
        admission = self._server_side.gate.admission
        return Status(
            name=settings.name,
            zone=settings.zone,
            pool=settings.pool,
            entry_port=self._entry_server.port,
            peer_port=self._peer_server.port,
            version=view.version,
            ready=self._is_ready(),
            draining=view.leaving,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit.value,
            members=sum(len(peers) for peers in view.membership.pools.values()),
            platform_calls=feed.client.calls,
            watches=feed.is_watcher,
            parent=feed.parent,
            head_age=feed.head_age,
            emptied_zones=tuple(sorted(view.drains.zones)) if view.drains else (),
            cold=admission.cold.is_cold(self._shared.monotonic()),
            followers=feed.relay.followers,
            relay_bytes=feed.relay.sent_bytes,
            held_requests=self._held_requests(),
            suspects=len(self._shared.quarantine),
            quotas=self._quotas.read() or msgspec.UNSET,
        )

    def _held_requests(self) -> tuple[HeldRequest, ...]:
        quarantine = self._shared.quarantine
        now = self._shared.unix()
        return tuple(
            HeldRequest(
                request.fingerprint,
                request.service,
                request.ends[-1],
                round(quarantine.held_for(request.fingerprint, now), 1),
            )
            for request in quarantine.held(now)
        )

    def metrics(self) -> bytes:
        """Return the content of the metrics page.

        Gauges are set here because setting them on each request would cost more.
        """
        metrics = self._shared.metrics
        admission = self._server_side.gate.admission
        metrics.in_flight.set({}, admission.in_flight)
        metrics.queued.set({}, admission.queued)
        metrics.limit.set({}, admission.limit.value)
        metrics.cold.set({}, float(admission.cold.is_cold(self._shared.monotonic())))
        metrics.named_limit.set({}, self._server_side.notices.rate or 0.0)
        metrics.key_records.set({}, len(self._server_side.keys.ledger))
        metrics.platform_calls.set({}, self._feed.client.calls)
        metrics.unreadable_entries.set({}, self._feed.unreadable_entries)
        metrics.relay_bytes.set({}, self._feed.relay.sent_bytes)
        metrics.head_age.set({}, self._feed.head_age or 0.0)
        metrics.quota_share.set({}, self._quotas.share)
        quarantine = self._shared.quarantine
        metrics.suspects.set({}, len(quarantine))
        metrics.held_requests.set({}, len(quarantine.held(self._shared.unix())))
        metrics.connections.set({"port": "entry"}, self._entry_server.open_connections)
        metrics.connections.set({"port": "peer"}, self._peer_server.open_connections)
        for port in self._bounds.ports:
            for why, count in port.closings.items():
                metrics.out_of_bounds.set({"port": port.name, "why": why}, count)
        metrics.request_memory.set({}, self._bounds.memory.reserved)
        return metrics.render()

    def _is_ready(self) -> bool:
        """Whether the daemon accepts callers.

        While its backend server leaves, a daemon that lists itself still accepts them and
        forwards their requests to other backend servers.
        """
        view = self._view
        if not view.version or view.drains is None or view.stopping:
            return False
        return self._settings.lists_itself or not view.leaving
