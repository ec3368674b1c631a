"""Builds the head of a request to the backend server, with its deadline and identity headers.

With the routes interface, the settings name these headers; with the workspace interface, they
are the `wheatslip-*` headers.
"""

from wheatslip.call import Call

from wheatslipd.entry.filters import DEADLINE_HEADER, DEPTH_HEADER
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, Headers, RequestHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry.tracing import TRACEPARENT

# Headers of the received request that are set again for the connection to the server.
REPLACED_HEADERS = (b"content-length", TRACEPARENT)


def build_backend_head(
    received: RequestHead,
    own_headers: Headers,
    traceparent: bytes | None,
    identity_names: frozenset[bytes] = frozenset(),
) -> RequestHead:
    """Copy the head of the forwarded request, with `own_headers` and `traceparent` added.

    Received headers with one of the `identity_names` are left out.
    """
    headers = [
        (name, value)
        for name, value in received.forwarded()
        if name not in REPLACED_HEADERS and name not in identity_names
    ]
    headers += own_headers
    if traceparent is not None:
        headers.append((TRACEPARENT, traceparent))
    return RequestHead(received.method, received.target, headers)


def configured_headers(names: HeaderNames, call: Call, now: float, server: str) -> Headers:
    """Headers for the routes interface; `server` is the server's registered id, or empty."""
    headers: Headers = []
    if names.deadline:
        headers.append((names.deadline, b"%d" % _remaining_ms(call, now)))
    if names.instance and server:
        headers.append((names.instance, server.encode()))
    return headers


def wheatslip_headers(call: Call, now: float) -> Headers:
    """Headers for the workspace interface."""
    headers = [
        (b"wheatslip-workspace", call.workspace.encode()),
        (DEADLINE_HEADER, b"%d" % _remaining_ms(call, now)),
        (DEPTH_HEADER, b"%d" % (call.depth + 1)),
    ]
    if call.key:
        headers.append((b"wheatslip-key", call.key.encode()))
    return headers


def _remaining_ms(call: Call, now: float) -> int:
    """Milliseconds until the deadline; at least 1, because 0 would mean that it has passed."""
    return max(1, int(call.remaining(now) * MILLISECONDS_PER_SECOND))
