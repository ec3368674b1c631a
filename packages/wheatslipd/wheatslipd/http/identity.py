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


def path_of(head: RequestHead) -> str:
    """Return the path of a request's target, without the query."""
    return head.target.partition(b"?")[0].decode("ascii", "replace")


def fingerprint_of(head: RequestHead, workspace: str, service: str, body: bytes) -> str:
    """Return the fingerprint of a request; `workspace` is empty if nobody was identified.

    The host is part of the fingerprint then, since it selects the route. The host of a
    request of the workspace interface is the daemon's address, which differs between repeats.
    """
    owner = workspace or (host_of(head) or "").lower()
    return request_fingerprint(owner, service, head.method, head.target, body)
