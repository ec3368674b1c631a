"""Refusals and their `Retry-After` times, one constant or function per cause.

A refusal means that the request was not run. Its time is the number of seconds after which the
caller should retry. A daemon that refuses a request of another daemon sends the time in
`wheatslip-retry-after-ms`, and the entry sends the time of its last attempt to the caller.

| refusal | reason, seconds | where: when |
|---|---|---|
| `STOPPING` | draining, 1 | its daemon stops before the request has arrived, or could be \
answered |
| `NO_MEMORY` | overloaded, 1 | entry, gate: the requests in progress hold all memory for \
large heads and bodies |
| `TOO_MANY_UPLOADS` | overloaded, 0.2 | gate: as many requests as may do so hold slots while \
their bodies are received |
| `NOT_CONFIGURED` | no-configuration, 1 | entry: its daemon has no configuration yet |
| `UNCONFIRMED` | unconfirmed, 1 | entry: the platform has not confirmed the \
configuration for so long that no credential is accepted |
| `NO_SUCH_SERVICE` | no-upstream, 0.1 | entry: the route's service is not configured |
| `NO_SERVER` | no-upstream, 1 | entry: no server is eligible |
| `NO_PEER_CONNECTION` | unreachable, 1 | entry: can't connect to the server's daemon |
| `SERVER_UNKNOWN` | not-ready, 0.2 | gate: it is not known which server runs here |
| `SERVER_LOST` | unreachable, 0.2 | gate: the server was unreachable when the \
request arrived |
| `LOST_WHILE_WAITING` | unreachable, 0.05 | gate: the server became \
unreachable while the request was queued |
| `overloaded_refusal(wait)` | overloaded, `wait` | gate: the request would \
wait too long, or the queue is full; `wait` is the expected wait (`Admission.expected_wait`), \
or 0 if the server is slow and the sender can try others |
| `FASTER_ELSEWHERE` | overloaded, 0.05 | gate: the server became slow while \
the request was queued |
| `overloaded_refusal(wait)` | overloaded, `wait` | gate: displaced from the \
queue by requests of ranks before its own |
| `EVICTED` | over-share, 0.5 | gate: evicted from a full queue by another \
workspace's request |
| `NO_CONNECTION` | unreachable, 1 | gate: can't connect to the server |
| `SHED_BY_SERVER` | shed, 1 | gate: the server rejected the request |
| `LEASE_LAPSED` | lease-lapsed, 1 | gate: it has no valid lease on keys |
| `NOT_KEY_OWNER` | not-key-owner, 1 | gate: another daemon owns the key |
| `held_refusal(seconds)` | ends-servers, `seconds` | entry, gate: each backend server \
that ran the request ended, so it is held back |
| `over_limit_refusal(wait)` | over-limit, `wait` | entry: the workspace is above its rate \
limit; the owner of the limit has the next token in `wait` seconds |
| `SUSPECT_RUNS` | overloaded, 0.05 | gate: the request is suspected of ending \
servers, and another such request runs here |

Refusals with any other reason have no time. The daemon's `entry/refusals.py` gives each reason
its HTTP status, 503 where it names no other. Callers by routes get
`DEFAULT_RETRY_AFTER_SECONDS` with a 503 that has no time; callers with a workspace's credential
get no `Retry-After` then.

The times are fixed except for `overloaded_refusal`, `held_refusal` and `over_limit_refusal`:
1 s if the daemon can't know when the cause ends, less if a probe or a heartbeat will soon tell,
and the minimum if another server can take the request at once. A longer time keeps callers away
from servers with free capacity; after a shorter one they are likely to be refused again.
"""

from wheatslip.outcome import NotRun, Reason

# Keeps refused callers from retrying immediately.
MIN_RETRY_AFTER_SECONDS = 0.05
# `Retry-After` for callers that use routes, if the refusal has no time.
DEFAULT_RETRY_AFTER_SECONDS = 0.1

STOPPING = NotRun(Reason.DRAINING, 1.0)
NO_MEMORY = NotRun(Reason.OVERLOADED, 1.0)
TOO_MANY_UPLOADS = NotRun(Reason.OVERLOADED, 0.2)
NOT_CONFIGURED = NotRun(Reason.NO_CONFIGURATION, 1.0)
UNCONFIRMED = NotRun(Reason.UNCONFIRMED, 1.0)
NO_SUCH_SERVICE = NotRun(Reason.NO_UPSTREAM, 0.1)
NO_SERVER = NotRun(Reason.NO_UPSTREAM, 1.0)
NO_PEER_CONNECTION = NotRun(Reason.UNREACHABLE, 1.0)

SERVER_UNKNOWN = NotRun(Reason.NOT_READY, 0.2)
SERVER_LOST = NotRun(Reason.UNREACHABLE, 0.2)
# Other servers may have capacity, so the request should be retried there at once.
LOST_WHILE_WAITING = NotRun(Reason.UNREACHABLE, MIN_RETRY_AFTER_SECONDS)
FASTER_ELSEWHERE = NotRun(Reason.OVERLOADED, MIN_RETRY_AFTER_SECONDS)
EVICTED = NotRun(Reason.OVER_SHARE, 0.5)

NO_CONNECTION = NotRun(Reason.UNREACHABLE, 1.0)
SHED_BY_SERVER = NotRun(Reason.SHED, 1.0)

LEASE_LAPSED = NotRun(Reason.LEASE_LAPSED, 1.0)
NOT_KEY_OWNER = NotRun(Reason.NOT_KEY_OWNER, 1.0)

SUSPECT_RUNS = NotRun(Reason.OVERLOADED, MIN_RETRY_AFTER_SECONDS)


def overloaded_refusal(wait: float) -> NotRun:
    """Returns the refusal of a request that would wait for `wait` seconds."""
    return NotRun(Reason.OVERLOADED, max(MIN_RETRY_AFTER_SECONDS, wait))


def held_refusal(seconds: float) -> NotRun:
    """Returns the refusal of a request that is held back for another `seconds`."""
    return NotRun(Reason.ENDS_SERVERS, max(MIN_RETRY_AFTER_SECONDS, seconds))


def over_limit_refusal(wait: float) -> NotRun:
    """Returns the refusal of a request above its workspace's limit, which has the next token
    in `wait` seconds.
    """
    return NotRun(Reason.OVER_LIMIT, max(MIN_RETRY_AFTER_SECONDS, wait))
