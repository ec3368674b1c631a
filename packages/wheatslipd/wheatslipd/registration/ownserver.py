"""The parts of a daemon whose backend server registers with it, where no platform lists it.

Heartbeats open or close the gate, the health endpoint is asked while the state of the server is
unknown, and what changes is written to the list.
"""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from msgspec import UnsetType
from wheatslip.admission import ColdRate, cold_rate
from wheatslip.config.bundle import Pool
from wheatslip.store.instances import Instance, InstanceState
from wheatslip.store.objects import ObjectStore
from wheatslip.store.registration import RegisteredServer, Registration

from wheatslipd.feed.feed import Feed
from wheatslipd.gate.recoveryprobe import RecoveryProbe
from wheatslipd.gate.serverside import ServerSide
from wheatslipd.http.server import Server
from wheatslipd.registration.publisher import Publisher
from wheatslipd.registration.registrar import HeartbeatDecoder, Registrar
from wheatslipd.registration.removal import DeadEntryRemover
from wheatslipd.settings import Settings
from wheatslipd.shared import Shared

# Seconds that a planned stop waits for the last write of our list entry.
PUBLISH_TIMEOUT = 0.5


class ListedPorts(NamedTuple):
    """The ports of this daemon that its list entry names."""

    entry: int
    peer: int
    control: int


class OwnServer:
    """Registration, recovery and list entry of the backend server beside one daemon."""

    def __init__(
        self,
        settings: Settings,
        shared: Shared,
        server_side: ServerSide,
        feed: Feed,
        store: ObjectStore,
        decode: HeartbeatDecoder,
        ports: Callable[[], ListedPorts],
    ):
        """`ports` are asked for when the entry is written: they are known once all listen."""
        gate, backend, clock = server_side.gate, server_side.backend, shared.monotonic
        self._settings = settings
        self._view = shared.view
        self._gate = gate
        self._clock = clock
        self._cache = feed.cache
        self._ports = ports
        self._server = ""  # the id of the one that registered last
        self._slots = 0  # that the server reported, as far as they are used; 0: none yet
        self._registrar = Registrar(
            Registration(settings.pool, f"{settings.backend_address}:{settings.backend_port}"),
            backend,
            settings.headers,
            shared.bus,
            clock,
            gate.update_load,
            self._take_beat,
            settings.health_path,
            decode,
        )
        self._check = server_side.speed_check
        self._check.use_path(settings.health_path)
        self._probe = RecoveryProbe(gate, self._check, clock, settings.recovery_probe)
        self._publisher = Publisher(store, shared.rng)
        self.remover = DeadEntryRemover(
            settings.name, store, shared.view, clock, feed.removal_rank, feed.cache.version_of
        )
        self.registration_server = Server(self._registrar.handle)

    async def listen(self) -> None:
        """Listen for heartbeats. Raises OSError."""
        settings = self._settings
        assert settings.registration_port is not None
        await self.registration_server.listen(settings.address, settings.registration_port)

    def start(self) -> list[asyncio.Task[None]]:
        """Start the tasks that run for as long as the daemon does."""
        loop = asyncio.get_running_loop()
        parts = (self._publisher, self.remover, self._probe)
        return [loop.create_task(part.run()) for part in parts]

    async def find(self) -> None:
        """Ask the server for its id while that is unknown or disputed. Runs until cancelled."""
        await self._registrar.run()

    def take_bounds(self, pool: Pool) -> int:
        """Apply what a bundle says of the pool; returns the slots to use."""
        health_path = pool.health_path or self._settings.health_path
        self._registrar.health_path = health_path
        self._check.use_path(health_path)
        self._gate.admission.cold.set_rate(self._cold_rate(pool))
        return self._slots or pool.slots

    def _cold_rate(self, pool: Pool) -> ColdRate | None:
        if isinstance(pool.cold, UnsetType):
            return None
        settings = self._settings
        return cold_rate(
            pool.cold.seconds, pool.cold.per_second, settings.cold_overage, settings.cold_slack
        )

    def _take_beat(self, registered: RegisteredServer) -> None:
        """The registered server is alive; take over when it will be warm, if it said so."""
        now = self._clock()
        if registered.warm_at is not None:
            self._gate.admission.cold.on_report(registered.warm_at - now, now)
        if not registered.leaving:
            self._gate.on_server_available()

    def take_registration(self, registered: RegisteredServer) -> None:
        """Apply the slots that the server reports; a new server is asked how fast it is."""
        if registered.server != self._server:
            self._take_new(registered)
        self._server = registered.server
        self._slots = max(1, int(registered.slots * self._settings.slot_share))
        admission = self._gate.admission
        admission.resize(dataclasses.replace(admission.settings, slots=self._slots))

    def _take_new(self, registered: RegisteredServer) -> None:
        if self._settings.headers.load:
            self._gate.on_speed_unknown()
        cold = self._gate.admission.cold
        now = self._clock()
        cold.on_server_replaced()
        if registered.warm_at is None:
            cold.assume_cold(now)
        else:
            cold.on_report(registered.warm_at - now, now)

    def publish(self) -> None:
        """Let the list show this daemon as it is now."""
        settings = self._settings
        ports = self._ports()
        leaves = self._view.leaving or self._view.stopping
        self._publisher.publish(
            Instance(
                name=settings.name,
                pool=settings.pool,
                zone=settings.zone,
                address=settings.address,
                entry_port=ports.entry,
                peer_port=ports.peer,
                control_port=ports.control,
                state=InstanceState.LEAVING if leaves else InstanceState.LIVE,
            )
        )

    def withdraw(self) -> None:
        """Take this daemon off the list: it leaves with its server."""
        self._publisher.withdraw()

    async def wait_published(self) -> None:
        """Wait, within `PUBLISH_TIMEOUT`, until our list entry is as it should be."""
        await self._publisher.wait_settled(PUBLISH_TIMEOUT)

    def check_entry(
        self, instances: tuple[Instance, ...], gone: tuple[str, ...], whole: bool
    ) -> None:
        """Compare the list, or changes of it, with what we published."""
        name = self._settings.name
        listed = next((i for i in instances if i.name == name), None)
        if listed is not None or whole or name in gone:
            self._publisher.seen(listed, self._cache.version_of(name), self._cache.listed)
