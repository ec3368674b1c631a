"""Identifies a request that its caller repeats, possibly to another daemon."""

from wheatslip.fingerprint import request_fingerprint

from wheatslipd.http.messages import RequestHead


def host_of(head: RequestHead) -> str | None:
    """Return the host header without its port; None unless there is exactly one."""
    values = [value for name, value in head.headers if name == b"host"]
    if len(values) != 1 or not values[0].strip():
        return None
    host = values[0].strip().decode("ascii", "replace")
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def fingerprint_of(head: RequestHead, workspace: str, service: str, body: bytes) -> str:
    """Return the fingerprint of a request; `workspace` is empty with the routes interface.

    With routes, the host selects the route and is part of the fingerprint. The host of a
    workspace request is the daemon's address, which differs between repeats.
    """
    owner = workspace or (host_of(head) or "").lower()
    return request_fingerprint(owner, service, head.method, head.target, body)
