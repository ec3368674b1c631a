"""Manages a backend server that registers with its daemon instead of with the platform.

Heartbeats open or close the gate. The health endpoint is probed while the state of the server
is unknown. Changes are written to the list of instances.
"""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from msgspec import UNSET, UnsetType
from wheatslip.admission import ColdRate, UsableSlots, cold_rate
from wheatslip.config.bundle import Pool
from wheatslip.servernotice import ServerStart
from wheatslip.store.instances import Instance, InstanceState
from wheatslip.store.objects import ObjectStore
from wheatslip.store.registration import RegisteredServer, Registration

from wheatslipd.feed.feed import Feed
from wheatslipd.gate.recoveryprobe import RecoveryProbe
from wheatslipd.gate.serverside import ServerSide
from wheatslipd.http.bounds import PortBounds
from wheatslipd.http.server import Server
from wheatslipd.registration.publisher import Publisher
from wheatslipd.registration.registrar import HeartbeatDecoder, Registrar
from wheatslipd.registration.removal import DeadEntryRemover
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState

PUBLISH_TIMEOUT_SECONDS = 0.5  # for the last write of the list entry in a planned stop


class ListedPorts(NamedTuple):
    """The ports of this daemon that its list entry contains."""

    entry: int
    peer: int
    control: int


class LocalBackend:
    """Registration, recovery probes and list entry of the local backend server."""

    def __init__(
        self,
        settings: Settings,
        shared: SharedState,
        server_side: ServerSide,
        feed: Feed,
        store: ObjectStore,
        decode: HeartbeatDecoder,
        ports: Callable[[], ListedPorts],
        note_lost: Callable[[Sequence[Instance], int], Awaitable[bool]],
        bounds: PortBounds,
    ):
        """`ports` is called when the entry is written, after all ports are bound. `note_lost`
        is that of `DeadEntryRemover`.
        """
        gate, backend, clock = server_side.gate, server_side.backend, shared.monotonic
        self._settings = settings
        self._view = shared.view
        self._gate = gate
        self._clock = clock
        self._cache = feed.cache
        self._ports = ports
        self._start = ServerStart()  # of the server that registered last
        self._reported_slots: int | None = None  # None: no server has registered
        self._registrar = Registrar(
            Registration(settings.pool, f"{settings.backend_address}:{settings.backend_port}"),
            backend,
            settings.headers,
            shared.bus,
            clock,
            gate.update_load,
            self._on_heartbeat,
            settings.health_path,
            decode,
        )
        self._speed_check = server_side.speed_check
        self._speed_check.use_path(settings.health_path)
        self._recovery_probe = RecoveryProbe(
            gate, self._speed_check, clock, settings.recovery_probe
        )
        self._publisher = Publisher(store, shared.rng)
        self.remover = DeadEntryRemover(
            settings.name,
            store,
            shared.view,
            clock,
            feed.removal_rank,
            feed.cache.version_of,
            note_lost,
        )
        self.registration_server = Server(self._registrar.handle, bounds=bounds)

    async def listen(self) -> None:
        """Listen for heartbeats. Raises OSError."""
        settings = self._settings
        assert settings.registration_port is not None
        await self.registration_server.listen(settings.address, settings.registration_port)

    def start(self) -> list[asyncio.Task[None]]:
        """Start the tasks that run until the daemon stops."""
        loop = asyncio.get_running_loop()
        parts = (self._publisher, self.remover, self._recovery_probe)
        return [loop.create_task(part.run()) for part in parts]

    async def probe_until_registered(self) -> None:
        """Probe the server's health while its id is unknown or disputed, until cancelled."""
        await self._registrar.run()

    def apply_pool(self, pool: Pool, *, has_ranks: bool) -> UsableSlots:
        """Apply the bundle's settings of the pool and return the slots to use.

        `has_ranks` tells whether callers need credentials by this bundle.
        """
        health_path = pool.health_path or self._settings.health_path
        self._registrar.health_path = health_path
        self._speed_check.use_path(health_path)
        self._gate.admission.cold.set_rate(self._cold_rate(pool))
        if self._reported_slots is None:
            return UsableSlots(pool.slots)
        return self._settings.slots.usable(self._reported_slots, has_ranks=has_ranks)

    def _cold_rate(self, pool: Pool) -> ColdRate | None:
        if isinstance(pool.cold, UnsetType):
            return None
        settings = self._settings
        return cold_rate(
            pool.cold.seconds, pool.cold.per_second, settings.cold_overage, settings.cold_slack
        )

    def _on_heartbeat(self, registered: RegisteredServer) -> None:
        """Apply the reported warm-up time; reopen the gate unless the server leaves."""
        now = self._clock()
        if registered.warm_at is not None:
            self._gate.admission.cold.on_report(registered.warm_at - now, now)
        if not registered.leaving:
            self._gate.on_server_available()

    def apply_registration(self, registered: RegisteredServer) -> None:
        """Apply the reported slots; for a new server, reset its speed and cold state first."""
        is_first = not self._start.server
        if is_first or not registered.start.may_equal(self._start):
            self._reset_for_new_server(registered)
        self._start = registered.start
        self._reported_slots = registered.slots
        admission = self._gate.admission
        usable = self._settings.slots.usable(
            registered.slots, has_ranks=admission.settings.has_ranks
        )
        admission.resize(
            dataclasses.replace(
                admission.settings, slots=usable.slots, short_slots=usable.short_slots
            )
        )

    def _reset_for_new_server(self, registered: RegisteredServer) -> None:
        if self._settings.headers.load:
            self._gate.on_speed_unknown()
        cold = self._gate.admission.cold
        now = self._clock()
        cold.on_server_replaced()
        if registered.warm_at is None:
            cold.assume_cold(now)
        else:
            cold.on_report(registered.warm_at - now, now)

    def on_leaving(self, server: str) -> None:
        """Record that responses of the server say that it leaves."""
        self._registrar.on_leaving(server)

    def publish(self) -> None:
        """Publish the current state of this daemon in the list of instances."""
        settings = self._settings
        ports = self._ports()
        is_leaving = self._view.leaving or self._view.stopping
        self._publisher.publish(
            Instance(
                name=settings.name,
                pool=settings.pool,
                zone=settings.zone,
                address=settings.address,
                entry_port=ports.entry,
                peer_port=ports.peer,
                control_port=ports.control,
                state=InstanceState.LEAVING if is_leaving else InstanceState.LIVE,
                server=self._start.server or UNSET,
                server_born=self._start.born or UNSET,
            )
        )

    def withdraw(self) -> None:
        """Remove this daemon's entry from the list because its server leaves."""
        self._publisher.withdraw()

    async def wait_published(self) -> None:
        """Wait up to `PUBLISH_TIMEOUT_SECONDS` until the list entry is up to date."""
        await self._publisher.wait_settled(PUBLISH_TIMEOUT_SECONDS)

    def check_entry(
        self, instances: tuple[Instance, ...], removed: tuple[str, ...], whole: bool
    ) -> None:
        """Compare this daemon's entry in the list, or in changes of it, with the published one.

        `removed` contains names. `whole` tells whether `instances` is the complete list.
        """
        name = self._settings.name
        listed = next((i for i in instances if i.name == name), None)
        if listed is not None or whole or name in removed:
            self._publisher.on_listed(listed, self._cache.version_of(name), self._cache.listed)
