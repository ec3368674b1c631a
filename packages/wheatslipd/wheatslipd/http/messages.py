"""Heads of HTTP messages, and which headers travel on to the next hop."""

from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
OWN_PREFIX = b"wheatslip-"
MILLISECONDS = 1000.0  # in a second; times in headers are in milliseconds
NO_BODY_STATUSES = frozenset({204, 304})

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class MessageHead:
    """What requests and responses have in common: headers with lower-case names."""

    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """The first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def forwarded(self) -> Headers:
        """The headers that travel on: neither hop-by-hop nor wheatslip's own."""
        named = self._named_by_connection()
        return [
            (name, value)
            for name, value in self.headers
            if name not in HOP_BY_HOP and name not in named and not name.startswith(OWN_PREFIX)
        ]

    def _named_by_connection(self) -> frozenset[bytes]:
        value = self.get(b"connection")
        if value is None:
            return frozenset()
        names = frozenset(part.strip().lower() for part in value.split(b","))
        # A sender must not make us drop what frames or identifies the message.
        return names - {b"content-length", b"host", b"authorization"}


@dataclass(slots=True)
class RequestHead(MessageHead):
    """A request line and its headers."""

    method: bytes
    target: bytes
    headers: Headers = field(default_factory=list)
    keep_alive: bool = True
    is_http_1_0: bool = False


@dataclass(slots=True)
class ResponseHead(MessageHead):
    """A status line and its headers."""

    status: int
    headers: Headers = field(default_factory=list)
    keep_alive: bool = True


def encode_request(head: RequestHead, *, chunked: bool) -> bytes:
    """The bytes of a request head."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    return _finish(lines, head.headers, chunked)


def encode_response(head: ResponseHead, *, chunked: bool, close: bool) -> bytes:
    """The bytes of a response head."""
    phrase = _REASON_PHRASES.get(head.status, b"")
    lines = [b"HTTP/1.1 %d %s" % (head.status, phrase)]
    if close:
        lines.append(b"connection: close")
    return _finish(lines, head.headers, chunked)


def encode_chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _finish(lines: list[bytes], headers: Headers, chunked: bool) -> bytes:
    for name, value in headers:
        lines.append(name + b": " + value)
    if chunked:
        lines.append(b"transfer-encoding: chunked")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
