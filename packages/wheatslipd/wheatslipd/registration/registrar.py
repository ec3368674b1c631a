"""The port on which the backend server beside this daemon registers by heartbeats.

It is open where no platform lists the instances. Until the first heartbeat the health endpoint
is asked, so that a daemon that was restarted need not wait for one. Each change is fired on the
bus.
"""

import asyncio
from collections.abc import Callable

import msgspec
from wheatslip.backendload import BackendLoad, decode_backend_load
from wheatslip.store.registration import Heartbeat, RegisteredServer, Registration

from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.events import backend_registered
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.health import ask_health, cold_remaining
from wheatslipd.http.body import BodyBroken
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs

PATH = b"/heartbeats/"
MAX_HEARTBEAT_BYTES = 64 * 1024
# Seconds from the begin of one question to the health endpoint to the begin of the next; and
# until a question without an answer is given up.
ASK_SECONDS = 0.25
ASK_TIMEOUT = 0.25
GOOD = 200  # HTTP status of the health endpoint

HeartbeatDecoder = Callable[[bytes], Heartbeat | None]


def decode_heartbeat(body: bytes) -> Heartbeat | None:
    """A heartbeat in wheatslip's own form (JSON), None if it is not one."""
    try:
        return msgspec.json.decode(body, type=Heartbeat)
    except msgspec.DecodeError:
        return None


class Registrar:
    """Takes the heartbeats of one backend server."""

    def __init__(
        self,
        registration: Registration,
        backend: Backend,
        names: HeaderNames,
        bus: Bus,
        clock: Callable[[], float],
        on_load: Callable[[BackendLoad], None],
        on_beat: Callable[[RegisteredServer], None],
        health_path: str,
        decode: HeartbeatDecoder = decode_heartbeat,
    ):
        """`on_load` takes the load that the health endpoint reports; `on_beat` is called with
        each heartbeat of the registered server, also of one that changes nothing.
        """
        self._on_beat = on_beat
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
        server = head.target.removeprefix(PATH).decode("ascii", "replace")
        if not head.target.startswith(PATH) or not server:
            await exchange.respond(ResponseHead(404))
            return
        try:
            body = await exchange.body.read_up_to(MAX_HEARTBEAT_BYTES)
        except BodyBroken:
            return
        if head.method == b"DELETE":
            self._apply(self._registration.on_deregistration(server))
            await exchange.respond(ResponseHead(200))
            return
        beat = self._decode(body) if head.method == b"PUT" else None
        if beat is None:
            logs.warning("heartbeat-unreadable", server=server, repeat_key=server)
            await exchange.respond(ResponseHead(400))
            return
        self._take_heartbeat(server, beat)
        await exchange.respond(ResponseHead(200), b"{}")

    async def run(self) -> None:
        """Ask the health endpoint for its id until a server has registered, and again while two
        ids claim to be the server here. Runs until cancelled.
        """
        while True:
            while self._is_in_question():
                began = self._clock()
                if self.health_path:
                    await self._ask()
                if self._is_in_question():
                    # Counted from the begin of the question: after one that timed out, because
                    # the start held up the loop, the next follows at once. Waiting 0.25 s more
                    # would refuse all callers for that time.
                    await asyncio.sleep(max(0.0, began + ASK_SECONDS - self._clock()))
            self._disputed.clear()
            await self._disputed.wait()

    def _take_heartbeat(self, server: str, beat: Heartbeat) -> None:
        self._apply(self._registration.on_heartbeat(server, beat, self._clock()))
        current = self._registration.current
        if current is not None and current.server == server:
            self._on_beat(current)
        if self._registration.is_disputed:
            logs.info("server-disputed", server=server, sequence=beat.sequence)
            self._disputed.set()

    def _is_in_question(self) -> bool:
        return self._registration.current is None or self._registration.is_disputed

    async def _ask(self) -> None:
        found = await ask_health(self._backend, self.health_path, ASK_TIMEOUT)
        if found is None:
            return
        server = (found.get(self._names.server) or b"").decode("ascii", "replace")
        load = decode_backend_load(found.get(self._names.load) or b"")
        if not server or (load is None and not self._registration.is_disputed):
            return
        slots = load.slots if load is not None else 0
        is_healthy = found.status == GOOD
        remaining = cold_remaining(found, self._names.cold)
        warm_at = None if remaining is None else self._clock() + remaining
        self._apply(
            self._registration.on_health(server, slots, is_healthy=is_healthy, warm_at=warm_at)
        )
        if load is not None:
            self._on_load(load)

    def _apply(self, changed: bool) -> None:
        """Log and fire what is registered now, if that has changed."""
        current = self._registration.current
        if changed and current is not None:
            logs.info(
                "backend-registered",
                server=current.server,
                slots=current.slots,
                draining=current.leaving,
            )
            self._bus.fire(backend_registered(current))
