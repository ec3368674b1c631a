"""What identifies a request whose caller sends it again, perhaps to another daemon."""

from wheatslip.fingerprint import request_fingerprint

from wheatslipd.http.messages import RequestHead


def host_of(head: RequestHead) -> str | None:
    """The host without its port; None unless there is exactly one."""
    values = [value for name, value in head.headers if name == b"host"]
    if len(values) != 1 or not values[0].strip():
        return None
    host = values[0].strip().decode("ascii", "replace")
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]


def fingerprint_of(head: RequestHead, workspace: str, service: str, body: bytes) -> str:
    """The request's fingerprint; `workspace` is empty where requests come by routes.

    There the host selects the route. A workspace's request names the daemon that it is sent to
    as its host, which differs from one repeat to the next.
    """
    owner = workspace or (host_of(head) or "").lower()
    return request_fingerprint(owner, service, head.method, head.target, body)
