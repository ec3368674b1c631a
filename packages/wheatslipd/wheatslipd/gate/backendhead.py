"""The head of a request to the backend server: the caller's, with deadline and identity.

By routes the server gets the headers that the settings name; otherwise it gets wheatslip's own.
"""

from wheatslip.call import Call

from wheatslipd.entry.filters import DEADLINE_HEADER, DEPTH_HEADER
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, Headers, RequestHead
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry.tracing import TRACEPARENT

REPLACED = (b"content-length", TRACEPARENT)  # set anew for the connection to the server


def backend_head(
    received: RequestHead, own_headers: Headers, traceparent: bytes | None
) -> RequestHead:
    """The head to send: that of the forwarded request with our headers in their place."""
    headers = [(name, value) for name, value in received.forwarded() if name not in REPLACED]
    headers += own_headers
    if traceparent is not None:
        headers.append((TRACEPARENT, traceparent))
    return RequestHead(received.method, received.target, headers)


def named_headers(names: HeaderNames, call: Call, now: float, server: str) -> Headers:
    """Headers for a server behind routes; `server` is its registered id, empty if none."""
    headers: Headers = []
    if names.deadline:
        headers.append((names.deadline, b"%d" % _milliseconds_left(call, now)))
    if names.instance and server:
        headers.append((names.instance, server.encode()))
    return headers


def wheatslip_headers(call: Call, now: float) -> Headers:
    """Headers for a server that knows wheatslip."""
    headers = [
        (b"wheatslip-workspace", call.workspace.encode()),
        (DEADLINE_HEADER, b"%d" % _milliseconds_left(call, now)),
        (DEPTH_HEADER, b"%d" % (call.depth + 1)),
    ]
    if call.key:
        headers.append((b"wheatslip-key", call.key.encode()))
    return headers


def _milliseconds_left(call: Call, now: float) -> int:
    """Until the deadline; at least 1, as 0 would say that it has passed."""
    return max(1, int(call.remaining(now) * MILLISECONDS_PER_SECOND))
