"""What the connections of a port may send, hold and take: the only place with these bounds.

docs/design/memory-of-connections.md has the sum that keeps a daemon below the memory of its
machine. `RequestLimits` are those of the operator's configuration, everything else is the same
for all deployments.
"""

import resource
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from math import inf

from wheatslipd.http.blocked import BlockedConnections
from wheatslipd.http.memory import MemoryBudget
from wheatslipd.http.turns import Turns

# Received at once; it is parsed before anything else happens.
READ_BYTES = 32 * 1024  # of a body
HEAD_READ_BYTES = 8 * 1024  # of anything else
# Of the system's buffers of an accepted connection. Linux doubles them, for its own records.
SOCKET_BUFFER_BYTES = 16 * 1024  # for what is received
SEND_SOCKET_BYTES = 32 * 1024  # for what is sent
# The same for what is received of a body that needs more than one read.
BODY_SOCKET_BYTES = 32 * 1024
# The same of a connection to a server or another daemon, for responses.
RESPONSE_BUFFER_BYTES = 128 * 1024
# Sent and not yet on its way, in the system's buffer; above it a connection counts as blocked.
UNSENT_BYTES = 4 * 1024
WRITE_BUFFER_BYTES = 32 * 1024  # of a request to a server or another daemon
BODY_BUFFER_BYTES = 64 * 1024  # received and not yet read; above it the socket is not read
MAX_QUEUED = 1  # requests that wait behind the current one of their connection
# Received and not parsed, as requests wait; above it the socket is not read, and it is not
# noticed when a caller leaves.
AHEAD_BYTES = 4096

# Memory of a header field beside its bytes: a tuple, two objects and their place in lists.
FIELD_BYTES = 200
# Copies of a buffered body at once: received, kept for a retry, and on their way.
BODY_COPIES = 4
# For all requests with more than `memory.FREE_BYTES`: 160 bodies of 64 KiB, or some 65 heads of
# 3,000 fields.
REQUEST_BUDGET_BYTES = 40 * 1024 * 1024

# Most connections of a port, and their part of the descriptors of the process, so that enough
# are left for those to the platform, to other daemons and to the backend server.
MAX_CONNECTIONS = 1024
MAX_CONNECTIONS_PART = 0.25
MAX_DESCRIPTORS = 1 << 20  # counted where the system has no limit
MAX_OWN_CONNECTIONS = 128  # of the ports for the backend server and for operators
# Longer than `pool.MAX_IDLE_SECONDS`, so that wheatslip's own clients close first.
PEER_IDLE_SECONDS = 60.0
# Headers that an entry adds to a caller's.
PEER_HEAD_BYTES = 8 * 1024
OWN_HEAD_BYTES = 32 * 1024  # of a question for a page, or a heartbeat
OWN_BODY_BYTES = 64 * 1024

# The same for the ports of other daemons: in a large fleet thousands of them may keep one here.
MAX_PEERS_PART = 0.4
# Of these, connections that have carried no request of a daemon yet; a crowd gets no others.
MAX_UNPROVEN = 256
# What a daemon may send ahead of its reading at the control port.
GRPC_CONNECTION_WINDOW_BYTES = 128 * 1024
GRPC_STREAM_WINDOW_BYTES = 65_535
# Of an answer on its way to its caller: in the buffers of both connections.
SENT_ANSWER_BYTES = 128 * 1024
# For answers that an entry holds until they are complete: some 40 of 256 KiB.
ANSWER_BUDGET_BYTES = 16 * 1024 * 1024

# Without progress: after that a connection that has something to send or to read is closed.
STALL_SECONDS = 5.0
# The same, where its memory or its slot of a server is needed for others.
PATIENCE_SECONDS = 0.1
# The same, where its memory is needed for the answers of others, which hold slots meanwhile.
ANSWER_PATIENCE_SECONDS = 0.05
# Connections of all ports whose peers do not read; above it the one that has waited for the
# longest time is reset. Each may fill the buffers of both directions, some 150 KiB.
MAX_BLOCKED = 256


class Closing(StrEnum):
    """Why a connection was closed, or its request refused, because of a bound."""

    SLOW_HEAD = "slow-head"
    SLOW_BODY = "slow-body"
    SLOW_READER = "slow-reader"
    IDLE = "idle"
    LARGE_HEAD = "large-head"
    LARGE_BODY = "large-body"
    MEMORY = "memory"
    CROWDED_OUT = "crowded-out"  # closed to make room for another one
    CROWDED = "crowded"  # not taken, as all others have requests that are served
    UPLOADS = "uploads"  # bodies on their way hold as many slots of the server as they may


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take; the defaults hold where the operator's
    configuration has no limits.

    `head_seconds` is the time from the first byte of a head to its last, `idle_seconds` that of
    a connection without a request.
    """

    head_bytes: int = 32 * 1024
    body_bytes: float = inf
    head_seconds: float = 10.0
    idle_seconds: float = 60.0


DEFAULT_LIMITS = RequestLimits()
# Of the ports that callers have no business at.
OWN_LIMITS = RequestLimits(OWN_HEAD_BYTES, OWN_BODY_BYTES)


@dataclass(slots=True)
class PortBounds:
    """The bounds of one port; `name` is that in logs and metrics.

    `limits` is asked for each request, as they may change. `connections` is the most that the
    port has open, `unproven` the most that have not carried what the port is for.
    `extra_head_bytes` may come on top of a caller's head, for the headers that daemons add.
    """

    limits: Callable[[], RequestLimits] = lambda: DEFAULT_LIMITS
    name: str = ""
    connections: float = inf
    unproven: float = inf
    extra_head_bytes: int = 0
    memory: MemoryBudget = field(default_factory=lambda: MemoryBudget(REQUEST_BUDGET_BYTES))
    blocked: BlockedConnections = field(default_factory=lambda: BlockedConnections(MAX_BLOCKED))
    turns: Turns = field(default_factory=Turns)  # of long work
    # Of the first requests of connections; a port's own: health pages wait for no crowd.
    first_turns: Turns = field(default_factory=Turns)
    closings: Counter[Closing] = field(default_factory=Counter)  # how often a bound was met


class DaemonBounds:
    """The bounds of all ports of a daemon, which share its memory and its event loop."""

    def __init__(self, limits: Callable[[], RequestLimits], descriptors: int):
        """`limits` are those of the operator. `descriptors` is the most that the process may
        have open.
        """
        self.memory = MemoryBudget(REQUEST_BUDGET_BYTES)
        turns = Turns()
        blocked = BlockedConnections(MAX_BLOCKED)
        part = int(descriptors * MAX_CONNECTIONS_PART)
        own = min(MAX_OWN_CONNECTIONS, part)

        def peer_limits() -> RequestLimits:
            return replace(limits(), idle_seconds=PEER_IDLE_SECONDS)

        def own_limits() -> RequestLimits:
            return OWN_LIMITS

        def port(
            name: str, limits: Callable[[], RequestLimits], connections: int
        ) -> PortBounds:
            return PortBounds(
                limits, name, connections, memory=self.memory, blocked=blocked, turns=turns
            )

        self.entry = port("entry", limits, min(MAX_CONNECTIONS, part))
        self.peer = port("peer", peer_limits, int(descriptors * MAX_PEERS_PART))
        self.peer.extra_head_bytes = PEER_HEAD_BYTES
        self.control = port("control", own_limits, part)
        self.peer.unproven = self.control.unproven = MAX_UNPROVEN
        self.registration = port("registration", own_limits, own)
        self.pages = port("pages", own_limits, own)
        self.ports = (self.entry, self.peer, self.control, self.registration, self.pages)


def descriptor_limit() -> int:
    """The most descriptors that this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
