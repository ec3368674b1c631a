"""Stand-in for a backend server that speaks plain HTTP and registers by heartbeats.

It keeps the requests that it received. Tests set its faults.
"""

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead
from wheatslipd.http.server import Server


class ServerFault(StrEnum):
    """How requests fail."""

    NONE = "none"
    SHED = "shed"  # answers 503 with the header for a request that was not run
    FAIL = "fail"  # runs the request and answers 500
    RESET = "reset"  # runs the request and aborts the connection
    CUT = "cut"  # runs the request and aborts the connection within the body
    HANG = "hang"  # runs the request and never answers


@dataclass(slots=True)
class ReceivedRequest:
    """One request as the server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlainBackend:
    """One server. `server_id` identifies this start of it.

    `health` is the status of health responses, `service` is the service time in seconds, and
    `load` is the value of the load header. `extra_headers` are those of responses to requests.
    """

    server_id: str
    fault: ServerFault = ServerFault.NONE
    health: int = 200
    service: float = 0.0
    load: bytes = b"0,0,4,100"
    cold_until: float = 0.0  # on the loop's clock
    extra_headers: Headers = field(default_factory=list)
    # Starts of the requests that it ran, on the loop's clock.
    arrivals: list[float] = field(default_factory=list)
    received: list[ReceivedRequest] = field(default_factory=list)
    run_request_ids: list[str] = field(default_factory=list)
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(self.handle)

    async def handle(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target == b"/health":
            headers: Headers = [
                (b"instance-id", self.server_id.encode()),
                *self._load_headers(),
            ]
            if self.cold_remaining > 0:
                headers.append((b"cold-remaining", b"%d" % (1000 * self.cold_remaining)))
            await exchange.respond(ResponseHead(self.health, headers))
            return
        body = await exchange.body.read_up_to(1 << 20)
        # A caller may send bytes that are no UTF-8 text.
        request_headers = {
            name.decode(): value.decode(errors="surrogateescape")
            for name, value in head.headers
        }
        received = ReceivedRequest(
            head.method.decode(), head.target.decode(), request_headers, body
        )
        self.received.append(received)
        if request_headers.get("expect-instance", self.server_id) != self.server_id:
            name = (b"request-id", request_headers.get("request-id", "").encode())
            await exchange.respond(ResponseHead(421, [name, (b"not-executed", b"1")]))
            return
        await self._run(exchange, received)

    @property
    def cold_remaining(self) -> float:
        """Seconds until the server is warm."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    async def _run(self, exchange: Exchange, received: ReceivedRequest) -> None:
        request_id = received.headers.get("request-id", "")
        headers = [
            (b"request-id", request_id.encode()),
            *self._load_headers(),
            *self.extra_headers,
        ]
        if self.fault is ServerFault.SHED:
            headers.append((b"not-executed", b"1"))
            await exchange.respond(ResponseHead(503, headers))
            return
        self.run_request_ids.append(request_id)
        self.arrivals.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.service)
        match self.fault:
            case ServerFault.FAIL:
                await exchange.respond(ResponseHead(500, headers), b"failed")
            case ServerFault.RESET:
                exchange.connection.abort()
            case ServerFault.CUT:
                headers.append((b"content-length", b"100"))
                exchange.start(ResponseHead(200, headers))
                await exchange.write(b"a part")
                await exchange.flush()
                exchange.connection.abort()
            case ServerFault.HANG:
                await asyncio.Event().wait()
            case _:
                await exchange.respond(ResponseHead(200, headers), self.server_id.encode())

    def _load_headers(self) -> Headers:
        return [(b"load-report", self.load)]
