"""Why a caller got this refusal, and this `Retry-After`: one case a place that refuses.

A refusal says that the request was not run; its time, in seconds, is the earliest at which a
caller should come back. A daemon that refuses a request of another daemon sends the time along
(`wheatslip-retry-after-ms`), and the entry passes that of its last try on to the caller.

| case                 | reason, seconds      | where: when                                  |
| -------------------- | -------------------- | -------------------------------------------- |
| `STOPPING`           | draining, 1          | entry: its daemon stops                      |
| `NOT_CONFIGURED`     | no-configuration, 1  | entry: its daemon knows no configuration yet |
| `NO_SUCH_SERVICE`    | no-upstream, 0.1     | entry: the route's service is not configured |
| `NO_SERVER`          | no-upstream, 1       | entry: there is no server to try             |
| `NO_PEER_CONNECTION` | unreachable, 1       | entry: the server's daemon takes no          |
|                      |                      | connection                                   |
| `SERVER_UNKNOWN`     | not-ready, 0.2       | gate: it is not known which server runs here |
| `SERVER_LOST`        | unreachable, 0.2     | gate: the server is lost when the request    |
|                      |                      | comes                                        |
| `LOST_WHILE_WAITING` | unreachable, 0.05    | gate: the server is lost while the request   |
|                      |                      | waits                                        |
| `overloaded(wait)`   | overloaded, its wait | gate: it would wait longer than it may, or   |
|                      |                      | the queue is full; the wait that the gate    |
|                      |                      | expects (`Admission.expected_wait`), or 0    |
|                      |                      | where the server is slow and the sender has  |
|                      |                      | others to try                                |
| `FASTER_ELSEWHERE`   | overloaded, 0.05     | gate: the server turns slow while it waits   |
| `EVICTED`            | over-share, 0.5      | gate: a full queue makes room for another    |
|                      |                      | workspace's request                          |
| `NO_CONNECTION`      | unreachable, 1       | gate: the server takes no connection         |
| `TURNED_AWAY`        | shed, 1              | gate: the server itself turns it away        |
| `LEASE_LAPSED`       | lease-lapsed, 1      | gate: it may not decide on keys now          |
| `NOT_KEY_OWNER`      | not-key-owner, 1     | gate: another daemon owns the key            |
| `held(seconds)`      | ends-servers, the    | entry, gate: backend servers ended whenever  |
|                      | rest of the hold     | they ran the request                         |
| `SUSPECT_RUNS`       | overloaded, 0.05     | gate: the request is suspected of ending     |
|                      |                      | servers, and another such request runs here  |

Refusals with any other reason have no time. The daemon's `entry/refusals.py` gives each reason
its HTTP status, 503 where it names no other. Callers by routes get `UNTIMED` with a 503 that
has no time; callers with a workspace's credential get no `Retry-After` then.

All times but those of `overloaded` and `held` are fixed: 1 s where the daemon can't know when
the cause ends, less where a probe or a heartbeat decides soon, and the shortest where another
server can take the request at once. A longer time keeps callers away from servers with room; a
shorter one has them refused again.
"""

from wheatslip.outcome import NotRun, Reason

# Seconds; the shortest wait that is sent, so that refused callers don't come back at once.
SHORTEST = 0.05
# Seconds; what a caller by routes gets with a refusal that has no time.
UNTIMED = 0.1

STOPPING = NotRun(Reason.DRAINING, 1.0)
NOT_CONFIGURED = NotRun(Reason.NO_CONFIGURATION, 1.0)
NO_SUCH_SERVICE = NotRun(Reason.NO_UPSTREAM, 0.1)
NO_SERVER = NotRun(Reason.NO_UPSTREAM, 1.0)
NO_PEER_CONNECTION = NotRun(Reason.UNREACHABLE, 1.0)

SERVER_UNKNOWN = NotRun(Reason.NOT_READY, 0.2)
SERVER_LOST = NotRun(Reason.UNREACHABLE, 0.2)
# Other servers have room: what waited here should go there at once.
LOST_WHILE_WAITING = NotRun(Reason.UNREACHABLE, SHORTEST)
FASTER_ELSEWHERE = NotRun(Reason.OVERLOADED, SHORTEST)
EVICTED = NotRun(Reason.OVER_SHARE, 0.5)

NO_CONNECTION = NotRun(Reason.UNREACHABLE, 1.0)
TURNED_AWAY = NotRun(Reason.SHED, 1.0)

LEASE_LAPSED = NotRun(Reason.LEASE_LAPSED, 1.0)
NOT_KEY_OWNER = NotRun(Reason.NOT_KEY_OWNER, 1.0)

SUSPECT_RUNS = NotRun(Reason.OVERLOADED, SHORTEST)


def overloaded(wait: float) -> NotRun:
    """The refusal of a request that would wait for `wait` seconds: come back after them."""
    return NotRun(Reason.OVERLOADED, max(SHORTEST, wait))


def held(seconds: float) -> NotRun:
    """The refusal of a request that is held for `seconds` more."""
    return NotRun(Reason.ENDS_SERVERS, max(SHORTEST, seconds))
