"""The fingerprint of a request: what stays the same when its caller sends it again.

A repeat has a request id, a deadline and perhaps an entry of its own; what a backend server
does with it depends on the method, the target and the body. The workspace is part of it, or
the host where requests come by routes, so that nothing learned of one owner's request touches
another's; and the service, because other servers may well bear the same request.
"""

from hashlib import blake2b

# Bytes of a body that count. An entry keeps so much of one before it sends it on, so a longer
# body has its fingerprint before any backend server has seen it.
BODY_BYTES = 64 * 1024
# Bytes of a digest. To find another request with the fingerprint of a given one takes 2**72
# tries; each byte more is sent with each record of an end to each daemon.
DIGEST_BYTES = 9
_SEPARATOR = b"\0"  # stands in no header and no request line


def request_fingerprint(
    owner: str, service: str, method: bytes, target: bytes, body: bytes
) -> str:
    """The fingerprint in hex. `owner` is the workspace, or the host that the route stands for;
    of `body` the first `BODY_BYTES` count.
    """
    named = (owner.encode(), service.encode(), method, target)
    digest = blake2b(_SEPARATOR.join(named), digest_size=DIGEST_BYTES)
    digest.update(_SEPARATOR)
    digest.update(body[:BODY_BYTES])
    return digest.hexdigest()
