"""Stand-in for a backend server with slots, lognormal service times, a health path and faults.

It records every request that it ran, so that `standins.verdict` can compare the record with the
outcomes that callers got.
"""

import argparse
import asyncio
import time
from random import Random

import msgspec
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead
from wheatslipd.http.server import Server

from standins.ending import EndingServer

HOST = "127.0.0.1"
SERVICE_TIME_SEED = 1
REQUEST_ID_HEADER = b"x-request-id"
LIMIT_HEADER = b"server-limit"
# Of the routes and of the workspace interface; by routes the soak's settings name them so.
WORKSPACE_HEADERS = (b"tenant", b"wheatslip-workspace")
CREDENTIAL_HEADERS = (b"key", b"authorization")


class Behaviour(msgspec.Struct):
    """How the stand-in handles requests.

    `service` is the mean service time in seconds; `slow` multiplies it. `limit` is the rate of
    requests per second that it names in its answers; 0: none.
    """

    slots: int = 12
    service: float = 0.004
    sigma: float = 0.5  # of the logarithm of the service time
    slow: float = 1.0
    fail_fast: bool = False
    limit: float = 0.0
    answer_bytes: int = 0  # before the usual text of an answer


class Run(msgspec.Struct, frozen=True):
    """One run of a request: the caller's request id and key, and its start in unix seconds.

    `workspace` and `credential` are the values of those headers, joined if there are several.
    """

    request_id: str
    key: str
    at: float = 0.0
    workspace: str = ""
    credential: str = ""


class Record(msgspec.Struct):
    """The runs, health probes and ends of a backend server."""

    runs: list[Run]
    probes: int
    # Unix seconds: starts of the requests that ended the server, and the ends.
    fatal_runs: list[float] = []
    ends: list[float] = []


class BackendStandIn:
    """One backend server."""

    def __init__(self, name: str, behaviour: Behaviour, rng: Random):
        self._name = name
        self._behaviour = behaviour
        self._rng = rng
        self._slots = asyncio.Semaphore(behaviour.slots)
        self.runs: list[Run] = []
        self._probes = 0
        self.ending: EndingServer | None = None  # set if requests can end the server
        self.server = Server(self.handle)

    async def handle(self, exchange: Exchange) -> None:
        path = exchange.head.target.partition(b"?")[0]
        if path == b"/health":
            await self._health(exchange)
        elif path == b"/stand-in/behaviour":
            body = await exchange.body.read_up_to(65536)
            self._behaviour = msgspec.json.decode(body, type=Behaviour)
            await exchange.respond(ResponseHead(204, []))
        elif path == b"/stand-in/record":
            await exchange.respond(ResponseHead(200), msgspec.json.encode(self._make_record()))
        else:
            await self._serve(exchange)

    def _make_record(self) -> Record:
        if self.ending is None:
            return Record(self.runs, self._probes)
        unix_offset = time.time() - asyncio.get_running_loop().time()
        fatal_runs = [at + unix_offset for at in self.ending.fatal_run_times]
        ends = [at + unix_offset for at in self.ending.ends]
        return Record(self.runs, self._probes, fatal_runs, ends)

    async def _health(self, exchange: Exchange) -> None:
        self._probes += 1
        await exchange.respond(ResponseHead(200), b"{}")

    async def _serve(self, exchange: Exchange) -> None:
        behaviour = self._behaviour
        await exchange.send_continue()
        size = 0
        async for chunk in exchange.body.chunks():
            size += len(chunk)
        if behaviour.fail_fast:
            self._record_run(exchange)
            headers = [*self._limit_headers(), *_repeated_name(exchange)]
            await exchange.respond(ResponseHead(500, headers), b"failed")
            return
        async with self._slots:
            self._record_run(exchange)
            await asyncio.sleep(self._service_time(behaviour))
        await self._answer(exchange, size)

    def _record_run(self, exchange: Exchange) -> None:
        names = (REQUEST_ID_HEADER, b"wheatslip-key")
        request_id, key = ((exchange.head.get(name) or b"").decode() for name in names)
        workspace = _values(exchange, WORKSPACE_HEADERS)
        credential = _values(exchange, CREDENTIAL_HEADERS)
        self.runs.append(Run(request_id, key, time.time(), workspace, credential))

    def _service_time(self, behaviour: Behaviour) -> float:
        if not behaviour.service:
            return 0.0
        factor = self._rng.lognormvariate(-(behaviour.sigma**2) / 2, behaviour.sigma)
        return behaviour.service * behaviour.slow * factor

    def _limit_headers(self) -> Headers:
        limit = self._behaviour.limit
        return [(LIMIT_HEADER, b"%g" % limit)] if limit else []

    async def _answer(self, exchange: Exchange, size: int) -> None:
        head = exchange.head
        headers = [
            (b"content-type", b"text/plain"),
            *self._limit_headers(),
            *_repeated_name(exchange),
        ]
        request_id = head.get(REQUEST_ID_HEADER) or b""
        workspace = _values(exchange, WORKSPACE_HEADERS).encode()
        parts = [self._name.encode(), workspace, request_id, b"%d" % size]
        body = b"." * self._behaviour.answer_bytes + b" ".join(parts) + b"\n"
        await exchange.respond(ResponseHead(200, headers), body)


def _repeated_name(exchange: Exchange) -> Headers:
    return [header for header in exchange.head.headers if header[0] == REQUEST_ID_HEADER]


def _values(exchange: Exchange, names: tuple[bytes, ...]) -> str:
    values = [value for name, value in exchange.head.headers if name in names]
    return b", ".join(values).decode("latin-1")


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="backend")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=12)
    parser.add_argument("--service", type=float, default=0.004)
    parser.add_argument("--fatal", default="", help="target of requests that end the server")
    options = parser.parse_args()
    behaviour = Behaviour(options.slots, options.service)
    stand_in = BackendStandIn(options.name, behaviour, Random(SERVICE_TIME_SEED))
    if options.fatal:
        stand_in.ending = EndingServer(stand_in, {options.fatal})
    await stand_in.server.listen(HOST, options.port)
    print(f"listening {stand_in.server.port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main())
