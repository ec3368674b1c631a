"""The port on which the local backend server registers by heartbeats.

It is used if the platform does not list the instances. Until the first heartbeat, the daemon
probes the health endpoint, so that it need not wait for a heartbeat after a restart.
"""

import asyncio
from collections.abc import Callable

from wheatslip.backendload import BackendLoad, decode_backend_load
from wheatslip.decoding import decode_json
from wheatslip.servernotice import ServerNotice, ServerStart
from wheatslip.store.registration import (
    Deregistration,
    Heartbeat,
    RegisteredServer,
    Registration,
)

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import backend_registered
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.health import ask_health, cold_remaining
from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import ResponseHead
from wheatslipd.noticeheaders import read_notice
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs

HEARTBEAT_PATH = b"/heartbeats/"
MAX_HEARTBEAT_BYTES = 64 * 1024
HEALTH_INTERVAL_SECONDS = 0.25  # from the start of one health probe to the start of the next
HEALTH_TIMEOUT_SECONDS = 0.25  # for one health probe
HEALTHY_STATUS = 200  # HTTP status of the health endpoint

HeartbeatDecoder = Callable[[bytes], Heartbeat | None]


def decode_heartbeat(body: bytes) -> Heartbeat | None:
    """Decode a heartbeat in wheatslip's JSON format; None if it is malformed."""
    return decode_json(body, Heartbeat).ok()


class Registrar:
    """Handles the heartbeats of one backend server."""

    def __init__(
        self,
        registration: Registration,
        backend: Backend,
        names: HeaderNames,
        bus: Bus,
        clock: Callable[[], float],
        on_load: Callable[[BackendLoad], None],
        on_heartbeat: Callable[[RegisteredServer], None],
        health_path: str,
        decode: HeartbeatDecoder = decode_heartbeat,
    ):
        """`on_load` gets the load that the health endpoint reports. `on_heartbeat` is called on
        each heartbeat of the registered server, even if it changes nothing.
        """
        self._on_heartbeat = on_heartbeat
        self._on_load = on_load
        self._registration = registration
        self._backend = backend
        self._names = names
        self._bus = bus
        self._clock = clock
        self._decode = decode
        self.health_path = health_path
        self._disputed = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Answer `PUT /heartbeats/ID` and `DELETE /heartbeats/ID`."""
        head = exchange.head
        server = head.target.removeprefix(HEARTBEAT_PATH).decode("ascii", "replace")
        if not head.target.startswith(HEARTBEAT_PATH) or not server:
            await exchange.respond(ResponseHead(404))
            return
        try:
            body = await exchange.body.read_up_to(MAX_HEARTBEAT_BYTES)
        except BodyTruncated:
            return
        if head.method == b"DELETE":
            said = decode_json(body, Deregistration).unwrap_or(Deregistration())
            self._fire_change(self._registration.on_deregistration(server, said.born))
            await exchange.respond(ResponseHead(200))
            return
        heartbeat = self._decode(body) if head.method == b"PUT" else None
        if heartbeat is None:
            logs.warning("heartbeat-unreadable", server=server, repeat_key=server)
            await exchange.respond(ResponseHead(400))
            return
        self._apply_heartbeat(server, heartbeat)
        await exchange.respond(ResponseHead(200), b"{}")

    async def run(self) -> None:
        """Probe the health endpoint for the server's id until a server has registered.

        Probes again while two servers with different ids claim to be the local one. Runs until
        cancelled.
        """
        while True:
            while self._is_unresolved():
                started_at = self._clock()
                if self.health_path:
                    await self._probe_health()
                if self._is_unresolved():
                    # The interval counts from the start of the probe: after a probe that timed
                    # out, the next one starts immediately, because callers are refused until
                    # one succeeds.
                    await asyncio.sleep(
                        max(0.0, started_at + HEALTH_INTERVAL_SECONDS - self._clock())
                    )
            self._disputed.clear()
            await self._disputed.wait()

    def on_leaving(self, server: str) -> None:
        """Record that responses of the server say that it leaves."""
        self._fire_change(self._registration.on_leaving(server))

    def _apply_heartbeat(self, server: str, heartbeat: Heartbeat) -> None:
        self._fire_change(self._registration.on_heartbeat(server, heartbeat, self._clock()))
        current = self._registration.current
        if current is not None and current.server == server:
            self._on_heartbeat(current)
        if self._registration.is_disputed:
            logs.info("server-disputed", server=server, sequence=heartbeat.sequence)
            self._disputed.set()

    def _is_unresolved(self) -> bool:
        return self._registration.current is None or self._registration.is_disputed

    async def _probe_health(self) -> None:
        answer = await ask_health(self._backend, self.health_path, HEALTH_TIMEOUT_SECONDS)
        if answer is None:
            return
        server = (answer.get(self._names.server) or b"").decode("ascii", "replace")
        load = decode_backend_load(answer.get(self._names.load) or b"")
        if not server or (load is None and not self._registration.is_disputed):
            return
        slots = load.slots if load is not None else 0
        notice = read_notice(answer, self._names, ServerNotice(ServerStart(server)))
        is_healthy = answer.status == HEALTHY_STATUS and not notice.leaving
        remaining = cold_remaining(answer, self._names.cold)
        warm_at = None if remaining is None else self._clock() + remaining
        self._fire_change(
            self._registration.on_health(server, slots, is_healthy=is_healthy, warm_at=warm_at)
        )
        if load is not None:
            self._on_load(load)

    def _fire_change(self, changed: bool) -> None:
        """Log the registered server and fire it on the bus, if it changed."""
        current = self._registration.current
        if changed and current is not None:
            logs.info(
                "backend-registered",
                server=current.server,
                slots=current.slots,
                draining=current.leaving,
            )
            self._bus.fire(backend_registered(current))
