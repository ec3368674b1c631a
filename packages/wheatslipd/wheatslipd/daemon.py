"""The daemon: builds and runs the entry, server side, feed and controllers."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from circuits import Component
from wheatslip.chooser import Chooser
from wheatslip.owners import OwnerHistory
from wheatslip.quarantine import Quarantine
from wheatslip.store.objects import ObjectStore

from wheatslipd.confirmation import ConfirmationLimit
from wheatslipd.controllers.bundles import BundleController
from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import leaving
from wheatslipd.controllers.lifecycle import Lifecycle
from wheatslipd.controllers.membership import MembershipController
from wheatslipd.controllers.quarantine import QuarantineController
from wheatslipd.controllers.view import View
from wheatslipd.controllers.zones import ZoneController
from wheatslipd.entry.wiring import build_entry
from wheatslipd.feed.feed import Feed, FeedDependencies, LocalDaemon
from wheatslipd.feed.verifier import create_verifier
from wheatslipd.gate.serverside import build_server_side
from wheatslipd.http.bounds import DaemonBounds, PortBounds, descriptor_limit
from wheatslipd.http.server import Server
from wheatslipd.quota.wiring import build_quota
from wheatslipd.registration.localbackend import ListedPorts, LocalBackend
from wheatslipd.registration.registrar import HeartbeatDecoder, decode_heartbeat
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.looplag import LoopLagMonitor
from wheatslipd.telemetry.metrics import Metrics
from wheatslipd.telemetry.pagesource import PageSource, Status
from wheatslipd.telemetry.statereport import StateReport
from wheatslipd.telemetry.tracing import HopTracer
from wheatslipd.tls import peer_tls

if TYPE_CHECKING:
    from wheatslipd.telemetry.pages import PageServer

# Requests wait for the first configuration and list until this time after listening starts, and
# again after the pages have started: no answer of the platform is read during their import,
# which takes longer than this on a busy machine.
EXPECTED_START_SECONDS = 0.2
# Settings that SIGHUP reloads; the head of default.ini lists them too.
RELOADABLE_SETTINGS = ("chooser", "log_level", "stop_grace", "trace_sample")


@dataclass(frozen=True, slots=True)
class Adapters:
    """Replacements by which an embedder connects the daemon to another platform.

    Without a `store` the daemon uses the object API at the address in the settings.
    """

    store: ObjectStore | None = None
    decode_heartbeat: HeartbeatDecoder = decode_heartbeat


class Daemon:
    """One wheatslip daemon with all its components."""

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        monotonic: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
        adapters: Adapters | None = None,
    ):
        """Build all components; `run` starts them."""
        adapters = adapters or Adapters()
        store = adapters.store or _object_client(settings.platform, rng)
        tls = peer_tls(settings.peer_tls)
        owners = OwnerHistory()
        metrics = Metrics(settings.name, settings.zone)
        shared = SharedState(View(), Bus(), metrics, rng, Quarantine(), monotonic, unix)
        self.settings = settings
        self.view = shared.view
        self.bus = shared.bus
        self.listening = asyncio.Event()
        self._stopping = asyncio.Event()
        self._shared = shared
        self._chooser = Chooser(settings.zone, rng, settings.chooser)
        bounds = self._bounds = DaemonBounds(lambda: self.view.limits, descriptor_limit())
        self._tracer = HopTracer(settings.name, settings.trace_sample, settings.trace_file, rng)

        self.quota = build_quota(settings, shared, tls, store)

        # The components below read the configuration, zone drains and instances from the feed.
        self.feed = Feed(
            LocalDaemon(settings.name, settings.zone, settings.feed),
            FeedDependencies(
                store,
                tls,
                rng,
                unix,
                monotonic,
                (self.quota.service,),
                self.quota.lost,
                bounds.control,
            ),
            create_verifier(settings),
            self.bus,
        )
        # A request passes the entry of one daemon, then the server side of the same or another.
        cache = self.feed.cache
        limit = ConfirmationLimit(settings.max_unconfirmed, cache, monotonic, metrics)
        entry = build_entry(
            settings, shared, self._chooser, self._tracer, cache, limit, self.quota.client
        )
        self.entry_server = Server(entry.handle, bounds=bounds.entry)
        self.server_side = build_server_side(
            settings, shared, self._tracer, owners, cache, limit
        )
        self.peer_server = Server(self.server_side.peer_port.handle, tls.server, bounds.peer)
        # The backend server registers here only if the platform does not list instances.
        self.local_backend = (
            self._build_local_backend(store, adapters, bounds.registration)
            if settings.lists_itself
            else None
        )
        # The controllers handle the events fired on the bus.
        self.quarantine = QuarantineController(
            shared.quarantine, settings.name, settings.pool, self.feed.report_end, rng, unix
        )
        self._register(
            self.quarantine,
            BundleController(self.view, metrics),
            MembershipController(settings, shared, owners, tls),
            self.quota.controller,
            ZoneController(self.view, settings.zone, self.server_side.gate, metrics, unix),
            Lifecycle(settings, self.view, self.server_side, self.feed, self.local_backend),
        )
        self._report = StateReport(
            settings,
            shared,
            self.entry_server,
            self.peer_server,
            self.server_side,
            self.feed,
            self.quota.report,
            bounds,
        )

    async def run(self) -> int:
        """Run until stopped; returns the process's exit code."""
        self.bus.attach()
        await self._listen()
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(self.quota.client.run()),
            loop.create_task(self.quota.prober.run()),
            loop.create_task(self.quota.loss_store.run()),
            loop.create_task(self.feed.run()),
            loop.create_task(LoopLagMonitor(self._shared.metrics).run()),
        ]
        probe_tasks: list[asyncio.Task[None]] = []
        if self.local_backend is not None:
            tasks += self.local_backend.start()
            probe_tasks.append(loop.create_task(self.local_backend.probe_until_registered()))
        if self.settings.health_path:
            tasks.append(loop.create_task(self.server_side.idle_probe.run()))
        pages = await self._start_pages()
        stop_requested = loop.create_task(self._stopping.wait())
        assert self.bus.failed is not None
        stop_conditions: list[asyncio.Future[Any]] = [stop_requested, self.bus.failed, *tasks]
        await asyncio.wait(stop_conditions, return_when=asyncio.FIRST_COMPLETED)
        was_requested = self._stopping.is_set()
        if was_requested:
            await self._finish_in_flight()
        for task in (stop_requested, *tasks, *probe_tasks):
            task.cancel()
        await asyncio.gather(stop_requested, *tasks, *probe_tasks, return_exceptions=True)
        self.quota.channels.close()
        self.quota.relay_calls.close()
        await self.feed.relay.stop()
        await pages.stop()
        self._tracer.close()
        logs.info("stopped", asked=was_requested)
        return 0 if was_requested else 1

    def stop(self) -> None:
        """Begin a planned stop: ask callers to leave and finish requests in flight."""
        self.view.stopping = True
        self.entry_server.announce_stop()
        self.feed.relay.leave()
        if not self.settings.stop_listening_after:
            self._close_gate()
        self._stopping.set()

    def _close_gate(self) -> None:
        """Refuse new requests at the own backend server; callers are still served."""
        self.bus.fire(leaving("asked to stop"))

    def reload(self, settings: Settings) -> None:
        """Apply the settings that may change at run time; log the others that differ."""
        not_reloadable = [
            field.name
            for field in dataclasses.fields(Settings)
            if field.name not in RELOADABLE_SETTINGS
            and getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        if not_reloadable:
            logs.warning("settings-need-restart", names=",".join(not_reloadable))
        reloaded = {name: getattr(settings, name) for name in RELOADABLE_SETTINGS}
        self.settings = dataclasses.replace(self.settings, **reloaded)
        self._chooser.settings = settings.chooser
        self._tracer.sample = settings.trace_sample
        logs.info("settings-reloaded")

    def status(self) -> Status:
        """Return the content of the status page."""
        return self._report.status()

    def _build_local_backend(
        self, store: ObjectStore, adapters: Adapters, bounds: PortBounds
    ) -> LocalBackend:
        return LocalBackend(
            self.settings,
            self._shared,
            self.server_side,
            self.feed,
            store,
            adapters.decode_heartbeat,
            self._ports,
            self.quota.loss_store.note,
            bounds,
        )

    def _register(self, *controllers: Component) -> None:
        for controller in controllers:
            controller.register(self.bus)

    def _ports(self) -> ListedPorts:
        return ListedPorts(self.entry_server.port, self.peer_server.port, self.feed.relay.port)

    async def _listen(self) -> None:
        """Listen for requests, other daemons and heartbeats. Raises OSError."""
        settings = self.settings
        self._set_startup_deadline()
        await self.entry_server.listen(settings.address, settings.entry_port)
        await self.peer_server.listen(settings.address, settings.peer_port)
        await self.feed.relay.listen(settings.address, settings.control_port)
        if self.local_backend is not None:
            await self.local_backend.listen()

    def _set_startup_deadline(self) -> None:
        self.view.startup_deadline = self._shared.monotonic() + EXPECTED_START_SECONDS

    async def _start_pages(self) -> "PageServer":
        """Start the operators' pages after the request ports listen."""
        settings = self.settings
        # Let the tasks send their first calls to the platform and the backend server before the
        # slow import. The import must not run in a thread: some starts then end with SIGILL.
        await asyncio.sleep(0)
        from wheatslipd.telemetry.pages import PageServer

        source = PageSource(
            self._report.status,
            self._report.metrics,
            self.quarantine.lift,
            self.settings.may_lift,
        )
        pages = PageServer(settings.address, settings.pages_port, source, self._bounds.pages)
        pages_port = await pages.start()
        self._set_startup_deadline()
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

    async def _finish_in_flight(self) -> None:
        """Finish requests in flight within `stop_grace` and update the list entry."""
        grace = self.settings.stop_grace
        if self.local_backend is not None and self.view.leaving:
            # The backend server leaves too, so other daemons must not send requests here.
            self.local_backend.withdraw()
        elif self.local_backend is not None:
            self.local_backend.publish()
        if self.settings.stop_listening_after:
            await asyncio.sleep(self.settings.stop_listening_after)
            grace -= self.settings.stop_listening_after
            self._close_gate()
        if self.local_backend is not None:
            await self.local_backend.wait_published()
        self.view.stop_ends_at = self._shared.monotonic() + grace
        # The peer port serves until the entry, which sends requests to it, has finished.
        await asyncio.gather(self.entry_server.drain(grace), self.peer_server.drain(grace))
        results = await asyncio.gather(self.entry_server.close(), self.peer_server.close())
        if not all(results):
            logs.error("stop-cut-requests", grace=grace)
        self.server_side.backend.close()


def _object_client(address: str, rng: Random) -> ObjectStore:
    # Imported here because a daemon with another store does not need it.
    from wheatslip.store.objectclient import ObjectClient

    return ObjectClient(address, rng)
