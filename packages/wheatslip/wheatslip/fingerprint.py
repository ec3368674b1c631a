"""Fingerprints of requests, which are equal for all sends of the same request.

A repeated request has a new request id and deadline and may use another entry, so the
fingerprint has the method, the target and the body, which determine what a backend server does.
It also has the workspace, or the host if requests are routed by host, so that one owner's
requests do not affect another's, and the service, because servers of other services may handle
the same request without failing.
"""

from hashlib import blake2b

# Of the beginning of a body; an entry buffers as much before a backend server gets the request.
HASHED_BODY_BYTES = 64 * 1024
# Finding a second request with a given fingerprint takes about 2**72 tries. Every daemon gets
# the fingerprints in each end report, so a longer digest costs traffic.
DIGEST_BYTES = 9
_SEPARATOR = b"\0"  # cannot occur in a header or a request line


def request_fingerprint(
    owner: str, service: str, method: bytes, target: bytes, body: bytes
) -> str:
    """The fingerprint in hex. `owner` is the workspace, or the host if requests are routed by
    host. Only the first `HASHED_BODY_BYTES` of `body` are hashed.
    """
    fields = (owner.encode(), service.encode(), method, target)
    digest = blake2b(_SEPARATOR.join(fields), digest_size=DIGEST_BYTES)
    digest.update(_SEPARATOR)
    digest.update(body[:HASHED_BODY_BYTES])
    return digest.hexdigest()
