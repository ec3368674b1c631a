"""The daemon: wires entry, admission and control together and runs them until told to stop."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from wheatslip.admission import Admission, AdmissionSettings, ClosedBy
from wheatslip.budget import RetryBudgets
from wheatslip.chooser import Chooser
from wheatslip.config.bundle import Bundle
from wheatslip.ledger import KeyLedger
from wheatslip.owners import OwnerHistory
from wheatslip.slidinglimit import SlidingLimit
from wheatslip.store.instances import Instance
from wheatslip.store.objects import ObjectClient, ObjectStore
from wheatslip.store.registration import Registered

from wheatslipd.chain import build_chain
from wheatslipd.controllers.bundles import BundleController
from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import leaving, newer_version_seen
from wheatslipd.controllers.lifecycle import Lifecycle
from wheatslipd.controllers.membership import MembershipController
from wheatslipd.controllers.view import View
from wheatslipd.controllers.zones import ZoneController
from wheatslipd.entry.entry import Entry
from wheatslipd.entry.filters import common_filters, workspace_filters
from wheatslipd.entry.forward import Decisions, Forwarder, ForwardSettings
from wheatslipd.entry.routefilter import RouteFilter
from wheatslipd.feed.feed import Feed, Member, Surroundings
from wheatslipd.feed.proof import proof_of
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate, SpeedProbing
from wheatslipd.gate.keyguard import KeyGuard
from wheatslipd.gate.measure import Measurer
from wheatslipd.gate.peerport import BackendWay, PeerPort, PeerTerms
from wheatslipd.gate.speedcheck import SpeedCheck
from wheatslipd.http.server import Server
from wheatslipd.registration.ownserver import OwnServer
from wheatslipd.registration.registrar import HeartbeatDecoder, decode_heartbeat
from wheatslipd.settings import NO_CHECKS, Interface, Settings
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.pagesource import PageSource, Status
from wheatslipd.telemetry.tracing import HopTracer
from wheatslipd.tls import PeerTls, peer_tls

if TYPE_CHECKING:
    from wheatslipd.telemetry.pages import PageServer

BACKEND_CONNECTIONS = 220  # until a bundle says otherwise
# Seconds from listening in which a first configuration and list are expected: 0.05 at the
# median, 0.07 at most of 78 daemons on 0.43 of a core that lost their power together.
START_SECONDS = 0.2
# Settings that SIGHUP takes over; default.ini says so at each.
RELOADED = ("chooser", "log_level", "stop_grace", "trace_sample")


@dataclass(frozen=True, slots=True)
class Ports:
    """What an embedder puts in the place of wheatslip's own way to the outside."""

    store: ObjectStore | None = None
    decode_heartbeat: HeartbeatDecoder = decode_heartbeat


class Daemon:
    """One wheatslipd."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        monotonic: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
        ports: Ports | None = None,
    ):
        """Build everything; nothing runs before `run`."""
        ports = ports or Ports()
        self.settings = settings
        self.view = View()
        self.metrics = Metrics(settings.name, settings.zone)
        self._monotonic = monotonic
        self.listening = asyncio.Event()
        self._stopping = asyncio.Event()
        self.bus = Bus()
        tls = peer_tls(settings.peer_tls)
        store = ports.store or ObjectClient(settings.platform, rng)
        self.feed = Feed(
            Member(settings.name, settings.zone, settings.feed),
            Surroundings(store, tls, rng, unix),
            proof_of(settings),
            self.bus,
        )
        self._tracer = HopTracer(settings.name, settings.trace_sample, settings.trace_file, rng)
        self._backend = Backend(
            settings.backend_address,
            settings.backend_port,
            BACKEND_CONNECTIONS,
            settings.connect_timeout,
        )
        self._speed_check = SpeedCheck(
            self._backend,
            settings.headers,
            self.metrics,
            monotonic,
            SlidingLimit(settings.checks_per_second),
        )
        self.gate = self._make_gate()
        self._chooser = Chooser(settings.zone, rng, settings.chooser)
        owners = OwnerHistory()
        self._keys = KeyGuard(
            settings.name,
            KeyLedger(watching_since=unix()),
            owners,
            unix,
            lambda: self.feed.cache.checked,
        )
        self._register_controllers(owners, tls, monotonic, unix)
        self.entry_server = Server(self._build_entry(rng).handle)
        self.peer_port = PeerPort(
            self.view,
            BackendWay(self._keys, self.gate, self._backend),
            PeerTerms(settings.pool, settings.headers, settings.interface is Interface.ROUTES),
            self.metrics,
            self._tracer,
            monotonic,
            self._hint_newer_version,
        )
        self.peer_server = Server(self.peer_port.handle, tls.server)
        self.own_server = self._own_server(store, rng, ports.decode_heartbeat)
        self.measurer = Measurer(
            self._backend,
            settings.health_path,
            self.bus,
            self.metrics,
            monotonic,
            self._is_silent,
        )

    async def run(self) -> int:
        """Run until stopped; returns the process's exit code."""
        self.bus.attach()
        await self._listen()
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(self.feed.run())]
        helpers: list[asyncio.Task[None]] = []
        if self.own_server is not None:
            tasks += self.own_server.start()
            helpers.append(loop.create_task(self.own_server.find()))
        if self.settings.health_path:
            tasks.append(loop.create_task(self.measurer.run()))
        pages = await self._start_pages()
        stopped = loop.create_task(self._stopping.wait())
        assert self.bus.failed is not None
        ending: list[asyncio.Future[Any]] = [stopped, self.bus.failed, *tasks]
        await asyncio.wait(ending, return_when=asyncio.FIRST_COMPLETED)
        was_asked = self._stopping.is_set()
        if was_asked:
            await self._finish_in_flight()
        for task in (stopped, *tasks, *helpers):
            task.cancel()
        await asyncio.gather(stopped, *tasks, *helpers, return_exceptions=True)
        await self.feed.relay.stop()
        await pages.stop()
        self._tracer.close()
        logs.info("stopped", asked=was_asked)
        return 0 if was_asked else 1

    def stop(self) -> None:
        """Begin a planned stop: no new callers, no new work, finish what is in flight."""
        self.view.stopping = True
        if not self.settings.stop_listening_after:
            self._close()
        self._stopping.set()

    def _close(self) -> None:
        """Take no more callers and no more work."""
        self.view.closed = True
        self.bus.fire(leaving("asked to stop"))

    def reload(self, settings: Settings) -> None:
        """Take over what may change while running; the rest is named and left as it is."""
        fixed = [
            field.name
            for field in dataclasses.fields(Settings)
            if field.name not in RELOADED
            and getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        if fixed:
            logs.warning("settings-need-restart", names=",".join(fixed))
        kept = {name: getattr(settings, name) for name in RELOADED}
        self.settings = dataclasses.replace(self.settings, **kept)
        self._chooser.settings = settings.chooser
        self._tracer.sample = settings.trace_sample
        logs.info("settings-reloaded")

    def drain(self, cause: str) -> None:
        """Take no new work."""
        if not self.view.draining:
            logs.info("draining", cause=cause, in_flight=self.gate.admission.in_flight)
        self.view.draining = True
        self.gate.server_leaves()

    def take_back_drain(self) -> None:
        """Take new work again: it was not this start that was to drain."""
        if self.view.draining and not self.view.stopping:
            logs.info("drain-taken-back")
            self.view.draining = False
            self.gate.server_stays()

    def take_bounds(self, bundle: Bundle) -> None:
        """Apply the pool's limits and the workspaces' shares."""
        pool = next((p for p in bundle.pools if p.name == self.settings.pool), None)
        if pool is None:
            logs.warning("pool-not-in-bundle", pool=self.settings.pool, version=bundle.version)
            return
        admission = self.gate.admission
        slots = self.own_server.take_bounds(pool) if self.own_server else pool.slots
        admission.resize(AdmissionSettings(slots=slots, queue=pool.queue))
        admission.set_shares({w.name: w.share for w in bundle.workspaces})
        self._backend.bound_connections(pool.connections)
        self.measurer.budget.per_second = pool.probes_per_second

    def take_registration(self, registered: Registered) -> None:
        """Apply what the backend server beside us says of itself."""
        assert self.own_server is not None
        self.peer_port.server = registered.server
        self.own_server.take_registration(registered)
        if registered.draining:
            self.drain(f"backend server {registered.server} leaves")
        else:
            self.view.draining = False
            self.gate.server_stays()
        self._publish()

    def check_own_entry(
        self, instances: tuple[Instance, ...], gone: tuple[str, ...], whole: bool
    ) -> None:
        """Compare the list with what we published."""
        if self.own_server is not None:
            cache = self.feed.cache
            version = cache.version_of(self.settings.name)
            self.own_server.check_entry(instances, gone, whole, version, cache.listed)

    def follow_hint(self, version: int, address: str) -> None:
        """Look for a version that the daemon at `address` has, if it is newer than ours."""
        if version > self.view.version:
            self.feed.check_head(version, address)

    def status(self) -> Status:
        """The state for the status page."""
        admission = self.gate.admission
        members = sum(len(peers) for peers in self.view.membership.pools.values())
        return Status(
            name=self.settings.name,
            zone=self.settings.zone,
            pool=self.settings.pool,
            entry_port=self.entry_server.port,
            peer_port=self.peer_server.port,
            version=self.view.version,
            ready=self._is_ready(),
            draining=self.view.draining,
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.limit.value,
            members=members,
            platform_calls=self.feed.client.calls,
            watches=self.feed.watches,
            parent=self.feed.parent,
            head_age=self.feed.head_age,
            emptied_zones=tuple(sorted(self.view.drains.zones)) if self.view.drains else (),
            cold=admission.cold.is_cold(self._monotonic()),
            followers=self.feed.relay.followers,
            relay_bytes=self.feed.relay.sent_bytes,
        )

    def _is_ready(self) -> bool:
        """Whether callers may come; a backend server that leaves need not keep them away
        where it is not the one that serves them.
        """
        if not self.view.version or self.view.drains is None or self.view.stopping:
            return False
        return self.own_server is not None or not self.view.draining

    def _register_controllers(
        self,
        owners: OwnerHistory,
        tls: PeerTls,
        monotonic: Callable[[], float],
        unix: Callable[[], float],
    ) -> None:
        settings = self.settings
        BundleController(self.view, self.metrics).register(self.bus)
        MembershipController(
            self.view,
            settings.name,
            settings.pool,
            owners,
            tls,
            monotonic,
            unix,
            lists_itself=settings.registration_port is not None,
        ).register(self.bus)
        ZoneController(self.view, settings.zone, self.gate, self.metrics, unix).register(
            self.bus
        )
        Lifecycle(self).register(self.bus)

    def _make_gate(self) -> Gate:
        """The gate, closed until the zone drains are known and a server registers."""
        settings = self.settings
        admission = Admission(AdmissionSettings())
        if settings.registration_port is None:
            return Gate(
                admission, self.view, self._monotonic, closed_by=(ClosedBy.ZONE_UNKNOWN,)
            )
        probing = None
        if settings.check_price < NO_CHECKS and settings.headers.load:
            probing = SpeedProbing(self._speed_check.probe_briefly, settings.check_price)
        return Gate(
            admission,
            self.view,
            self._monotonic,
            closed_by=(ClosedBy.ZONE_UNKNOWN, ClosedBy.SERVER_UNKNOWN),
            is_probed=True,
            probing=probing,
        )

    def _own_server(
        self, store: ObjectStore, rng: Random, decode: HeartbeatDecoder
    ) -> OwnServer | None:
        """The parts for a backend server that registers here, if the settings want them."""
        if self.settings.registration_port is None:
            return None
        return OwnServer(
            self.settings,
            self.view,
            self.gate,
            self._speed_check,
            self._backend,
            store,
            self.metrics,
            self.bus,
            rng,
            self._monotonic,
            decode,
            self.feed.removal_rank,
            self.feed.cache.version_of,
        )

    def _publish(self) -> None:
        assert self.own_server is not None
        self.own_server.publish(
            self.entry_server.port, self.peer_server.port, self.feed.relay.port
        )

    def _build_entry(self, rng: Random) -> Entry:
        settings = self.settings
        by_routes = settings.interface is Interface.ROUTES
        forward_settings = ForwardSettings(
            settings.name,
            settings.pool.encode(),
            settings.headers,
            settings.answer_hold,
            by_routes,
        )
        budgets = RetryBudgets(
            fleet=settings.fleet_budget,
            members=lambda: len(self.feed.cache.instances),
            started=self._monotonic(),
        )
        forwarder = Forwarder(
            forward_settings,
            Decisions(self._chooser, budgets),
            self.view,
            self.metrics,
            self._monotonic,
            self._hint_newer_version,
        )
        filters = common_filters(self.view, self.metrics, self._tracer, self._monotonic)
        if by_routes:
            filters.append(RouteFilter(settings.headers, self._monotonic, rng))
        else:
            filters += workspace_filters(self._monotonic)
        chain = build_chain(filters, forwarder)
        return Entry(chain, self._monotonic, self.view, by_routes=by_routes)

    def _hint_newer_version(self, version: int, address: str) -> None:
        self.bus.fire(newer_version_seen(version, address))

    def _is_silent(self, seconds: float) -> bool:
        admission = self.gate.admission
        last = admission.last_finished
        return admission.in_flight == 0 and self._monotonic() - last >= seconds

    async def _listen(self) -> None:
        """Listen for requests, other daemons and heartbeats. Raises OSError."""
        settings = self.settings
        self.view.expected_until = self._monotonic() + START_SECONDS
        await self.entry_server.listen(settings.address, settings.entry_port)
        await self.peer_server.listen(settings.address, settings.peer_port)
        await self.feed.relay.listen(settings.address, settings.control_port)
        if self.own_server is not None:
            await self.own_server.listen()

    async def _start_pages(self) -> "PageServer":
        """Start the operators' pages, when requests can come already."""
        settings = self.settings
        # The first calls to the platform and the backend server go out, and are answered while
        # this loads. Not in a thread: two in a thousand starts then ended with SIGILL.
        await asyncio.sleep(0)
        from wheatslipd.telemetry.pages import PageServer

        loop = asyncio.get_running_loop()
        source = PageSource(loop, self.status, self._render_metrics)
        pages = PageServer(settings.address, settings.pages_port, source)
        pages_port = await pages.start()
        logs.info(
            "listening",
            name=settings.name,
            zone=settings.zone,
            entry_port=self.entry_server.port,
            peer_port=self.peer_server.port,
            control_port=self.feed.relay.port,
            pages_port=pages_port,
        )
        self.listening.set()
        return pages

    def _render_metrics(self) -> bytes:
        # Gauges are set when they are read: setting them on each request would cost more.
        admission = self.gate.admission
        self.metrics.in_flight.set({}, admission.in_flight)
        self.metrics.queued.set({}, admission.queued)
        self.metrics.limit.set({}, admission.limit.value)
        self.metrics.cold.set({}, float(admission.cold.is_cold(self._monotonic())))
        self.metrics.key_records.set({}, len(self._keys.ledger))
        self.metrics.platform_calls.set({}, self.feed.client.calls)
        self.metrics.relay_bytes.set({}, self.feed.relay.sent_bytes)
        self.metrics.head_age.set({}, self.feed.head_age or 0.0)
        self.metrics.connections.set({"port": "entry"}, self.entry_server.open_connections)
        self.metrics.connections.set({"port": "peer"}, self.peer_server.open_connections)
        return self.metrics.render()

    async def _finish_in_flight(self) -> None:
        """Let what is in flight finish, within the grace of the settings."""
        grace = self.settings.stop_grace
        if self.own_server is not None and self.view.draining:
            # The backend server leaves, and we with it.
            self.own_server.withdraw()
        elif self.own_server is not None:
            self._publish()
        if self.settings.stop_listening_after:
            await asyncio.sleep(self.settings.stop_listening_after)
            grace -= self.settings.stop_listening_after
            self._close()
        if self.own_server is not None:
            await self.own_server.wait_published()
        finished = await asyncio.gather(
            self.entry_server.stop(grace), self.peer_server.stop(grace)
        )
        if not all(finished):
            logs.error("stop-cut-requests", grace=grace)
        self._backend.close()
