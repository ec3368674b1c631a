"""The operators' pages: health, status, metrics and lift.

circuits.web finds the page of a request and builds its response. The requests come by the
daemon's own HTTP server, whose bounds hold here too: anyone who reaches the port may ask. The
daemon imports this module last: circuits.web loads slowly.
"""

import asyncio
from io import BytesIO, StringIO
from typing import Any

import msgspec
from circuits.web import Controller
from circuits.web.wsgi import Application

from wheatslipd.http.body import BodyTruncated
from wheatslipd.http.bounds import OWN_BODY_BYTES, OWN_LIMITS, PortBounds
from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead
from wheatslipd.http.server import Server
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.pagesource import PageSource

BODY_TIMEOUT_SECONDS = 2.0  # for the whole body of a question
_SET_BY_SERVER = frozenset({"connection", "content-length", "transfer-encoding"})


class _Pages(Controller):
    """Serves each page from the method of that name."""

    channel = "/"

    def __init__(self, source: PageSource):
        super().__init__()
        self._source = source

    def health(self) -> str:
        """Respond 200 while the daemon accepts callers (see `StateReport`), 503 otherwise."""
        status = self._source.status()
        self.response.status = 200 if status.ready else 503
        return "ready\n" if status.ready else "not ready\n"

    def status(self) -> str:
        """Respond with the daemon's `Status` as JSON."""
        self.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(self._source.status()).decode()

    def metrics(self) -> str:
        """Respond with the metrics in the Prometheus text format."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._source.metrics().decode()

    def lift(self, fingerprint: str = "") -> str:
        """Let a held request run again on all daemons; POST only."""
        if self.request.method != "POST":
            self.response.status = 405
            return "only POST\n"
        if not self._source.may_lift:
            self.response.status = 403
            return "not allowed here\n"
        was_held = self._source.lift(fingerprint)
        self.response.status = 200 if was_held else 404
        return "lifted\n" if was_held else "no such request is held here\n"


class PageServer:
    """Serves the pages on a port of their own."""

    def __init__(
        self, address: str, port: int, source: PageSource, bounds: PortBounds | None = None
    ):
        self._address = address
        self._port = port
        self._application = Application()
        _Pages(source).register(self._application)
        self.server = Server(self._handle, bounds=bounds or PortBounds(lambda: OWN_LIMITS))

    async def start(self) -> int:
        """Listen; returns the port. Raises OSError."""
        await self.server.listen(self._address, self._port)
        return self.server.port

    async def stop(self) -> None:
        await self.server.abort()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS):
                body = await exchange.body.read_up_to(OWN_BODY_BYTES)
        except (BodyTruncated, TimeoutError):
            await exchange.respond(ResponseHead(408))
            return
        try:
            head, content = self._answer(exchange, body)
        except Exception as error:
            # circuits.web meets whatever a client sends.
            logs.warning("page-failed", error=repr(error), repeat_key="pages")
            head, content = ResponseHead(500), b""
        await exchange.respond(head, content)

    def _answer(self, exchange: Exchange, body: bytes) -> tuple[ResponseHead, bytes]:
        """Let circuits.web answer a request."""
        head = ResponseHead(500)

        def start_response(
            status: str, headers: list[tuple[str, str]], exc_info: object = None
        ) -> None:
            head.status = int(status.split(" ", 1)[0])
            head.headers = _encode_headers(headers)

        content = self._application(_environment(exchange, body), start_response)
        return head, _join(content)


def _environment(exchange: Exchange, body: bytes) -> dict[str, Any]:
    """The request as WSGI has it, without headers that no page reads."""
    path, _, query = exchange.head.target.partition(b"?")
    content_type = exchange.head.get(b"content-type") or b""
    return {
        "REQUEST_METHOD": exchange.head.method.decode("latin-1"),
        "SCRIPT_NAME": "",
        "PATH_INFO": path.decode("latin-1"),
        "QUERY_STRING": query.decode("latin-1"),
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": exchange.connection.peer_address,
        "CONTENT_TYPE": content_type.decode("latin-1"),
        "CONTENT_LENGTH": str(len(body)),
        "HTTP_HOST": (exchange.head.get(b"host") or b"").decode("latin-1"),
        "wsgi.url_scheme": "http",
        "wsgi.input": BytesIO(body),
        "wsgi.errors": StringIO(),
    }


def _encode_headers(headers: list[tuple[str, str]]) -> Headers:
    return [
        (name.lower().encode("latin-1"), str(value).encode("latin-1"))
        for name, value in headers
        if name.lower() not in _SET_BY_SERVER
    ]


def _join(content: Any) -> bytes:
    """The body of a response of circuits.web, which has texts or bytes, or a list of them."""
    parts = content if isinstance(content, list) else [content]
    return b"".join(part.encode() if isinstance(part, str) else part for part in parts)
