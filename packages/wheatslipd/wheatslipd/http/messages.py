"""HTTP message heads, their encoding, and the headers forwarded to the next hop."""

from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# Headers that apply to one connection only (RFC 9110, 7.6.1).
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
WHEATSLIP_PREFIX = b"wheatslip-"
MILLISECONDS_PER_SECOND = 1000.0
NO_BODY_STATUSES = frozenset({204, 304})

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class MessageHead:
    """Base class of request and response heads; header names are lower case."""

    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header, given its lower-case name."""
        return [value for key, value in self.headers if key == name]

    def forwarded(self) -> Headers:
        """Return the headers to forward: all but hop-by-hop headers and wheatslip's own."""
        options = self._connection_options()
        return [
            (name, value)
            for name, value in self.headers
            if name not in HOP_BY_HOP
            and name not in options
            and not name.startswith(WHEATSLIP_PREFIX)
        ]

    def _connection_options(self) -> frozenset[bytes]:
        value = self.get(b"connection")
        if value is None:
            return frozenset()
        names = frozenset(part.strip().lower() for part in value.split(b","))
        # A sender must not be able to remove headers that frame or identify the message.
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
    """Encode a request head."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    return _encode_head(lines, head.headers, chunked)


def encode_response(head: ResponseHead, *, chunked: bool, close: bool) -> bytes:
    """Encode a response head."""
    phrase = _REASON_PHRASES.get(head.status, b"")
    lines = [b"HTTP/1.1 %d %s" % (head.status, phrase)]
    if close:
        lines.append(b"connection: close")
    return _encode_head(lines, head.headers, chunked)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _encode_head(lines: list[bytes], headers: Headers, chunked: bool) -> bytes:
    for name, value in headers:
        lines.append(name + b": " + value)
    if chunked:
        lines.append(b"transfer-encoding: chunked")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)
