"""Registration of the backend server beside a daemon, from the server's heartbeats.

Heartbeats, deregistrations and health endpoint responses may arrive late and in any order. They
decide whether the server may get new requests. Each start of a server has its own id. A server
that has reported that it is leaving never gets new requests again.

A heartbeat with a new id may be from a server that has just replaced the current one, or a late
one from a server that crashed earlier. The id in the health endpoint's response decides. This
module does no I/O.
"""

from collections import OrderedDict
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec
from msgspec import UNSET, UnsetType

from wheatslip.decoding import Int64
from wheatslip.servernotice import ServerStart

MAX_RETIRED_IDS = 1000  # ids of former servers whose late heartbeats are ignored
# Less than a heartbeat interval, more than the time in which late heartbeats arrive together.
CLAIM_CONFIRM_SECONDS = 1.0


class ServerState(StrEnum):
    """State that a backend server reports in its heartbeats."""

    READY = "ready"
    LEAVING = "draining"  # accepts no new requests and is about to stop


class Heartbeat(msgspec.Struct, frozen=True):
    """A heartbeat. `sequence` increases with each heartbeat of the same server.

    `warm_in` is the time in seconds until the server has warmed up after its start, `born` the
    time of its start in Unix milliseconds.
    """

    pool: str
    address: str
    slots: Int64
    sequence: Int64
    state: ServerState = ServerState.READY
    warm_in: float = 0.0
    born: Int64 | UnsetType = UNSET


class Deregistration(msgspec.Struct, frozen=True):
    """What a server says when it deregisters, if anything; `born` as in a `Heartbeat`."""

    born: Int64 = 0


@dataclass(frozen=True, slots=True)
class RegisteredServer:
    """The backend server that is registered with the daemon.

    `slots` is its concurrency. `warm_at` is the monotonic time in seconds at which it will have
    warmed up; None if it has not reported one.
    """

    server: str
    slots: int
    leaving: bool = False
    warm_at: float | None = None
    born: int = 0  # Unix milliseconds; 0: unknown

    @property
    def start(self) -> ServerStart:
        return ServerStart(self.server, self.born)


@dataclass(frozen=True, slots=True)
class _Claim:
    """The first heartbeat of a new id, received at `since` while another id was registered."""

    server: str
    heartbeat: Heartbeat
    since: float


@dataclass(slots=True)
class Registration:
    """The registration of one daemon's backend server."""

    pool: str
    address: str
    current: RegisteredServer | None = None
    _sequence: int = -1
    _claim: _Claim | None = None
    # When the latest retired start of each id was born, in Unix milliseconds; 0: unknown.
    _retired: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def is_disputed(self) -> bool:
        """Whether two ids claim the registration, so that the health endpoint must decide."""
        return self._claim is not None

    def on_heartbeat(self, server: str, heartbeat: Heartbeat, now: float) -> bool:
        """Processes a heartbeat; returns whether `current` changed."""
        if not self._is_for_this_daemon(heartbeat):
            return False
        born = heartbeat.born or 0
        if self._is_current(server) and self._is_born_later(born):
            # It has started again under its id, with new sequence numbers.
            return self._take_over(server, heartbeat, now)
        if server in self._retired and not 0 < self._retired[server] < born:
            return False
        if self._is_current(server):
            return self._update_current(heartbeat, now)
        if self.current is not None:
            if not self.current.leaving and heartbeat.state is ServerState.LEAVING:
                # A late heartbeat of a server that left before the current one started.
                self._retire_id(server)
                return False
            if not self._confirms_claim(server, heartbeat, now):
                return False
        return self._take_over(server, heartbeat, now)

    def on_deregistration(self, server: str, born: int = 0) -> bool:
        """The server deregisters and will not come back; returns whether `current` changed.

        `born` is when the start that deregisters was born, in Unix milliseconds; 0: not stated.
        A late one of an earlier start changes nothing.
        """
        if born > 0 and self._is_current(server) and self._is_born_after(born):
            return False
        self._retire_id(server)
        if self._claim is not None and self._claim.server == server:
            self._claim = None
        return self.on_leaving(server)

    def on_leaving(self, server: str) -> bool:
        """Responses of the server say that it leaves; returns whether `current` changed."""
        current = self.current
        if current is None or current.server != server or current.leaving:
            return False
        self.current = replace(current, leaving=True)
        return True

    def on_health(
        self, server: str, slots: int, *, is_healthy: bool, warm_at: float | None = None
    ) -> bool:
        """The health endpoint responded with id `server`; returns whether `current` changed.

        `warm_at` is when the server will have warmed up; None: not stated. The id always
        resolves a dispute. Otherwise the response is used only until the first heartbeat, since
        it may report a running server as failed or a failed one as healthy.
        """
        if self._claim is not None:
            return self._resolve_dispute(server)
        if self.current is not None or server in self._retired or not is_healthy:
            return False
        self.current = RegisteredServer(server, slots, warm_at=warm_at)
        return True

    def _confirms_claim(self, server: str, heartbeat: Heartbeat, now: float) -> bool:
        """Records the first heartbeat of a new id as a claim. Returns whether a later heartbeat
        confirms it after `CLAIM_CONFIRM_SECONDS`, without a response of the health endpoint.
        """
        if self._claim is None or self._claim.server != server:
            self._claim = _Claim(server, heartbeat, now)
            return False
        return now - self._claim.since >= CLAIM_CONFIRM_SECONDS

    def _resolve_dispute(self, server: str) -> bool:
        """Resolves a dispute in favour of `server`; returns whether `current` changed."""
        claim = self._claim
        assert claim is not None
        if claim.server == server:
            return self._take_over(server, claim.heartbeat, claim.since)
        self._claim = None
        self._retire_id(claim.server)
        return False

    def _take_over(self, server: str, heartbeat: Heartbeat, now: float) -> bool:
        """Replaces the current server by one that was not registered."""
        if self.current is not None and self.current.server != server:
            self._retire_id(self.current.server)
        self._retired.pop(server, None)
        self._claim = None
        self._sequence = heartbeat.sequence
        return self._set_current(server, heartbeat, now)

    def _is_for_this_daemon(self, heartbeat: Heartbeat) -> bool:
        return heartbeat.pool == self.pool and heartbeat.address == self.address

    def _is_current(self, server: str) -> bool:
        return self.current is not None and self.current.server == server

    def _is_born_later(self, born: int) -> bool:
        """Whether a start that was born then is known to be later than the current one."""
        assert self.current is not None
        return 0 < self.current.born < born

    def _is_born_after(self, born: int) -> bool:
        """Whether the current start is known to be later than one that was born then."""
        assert self.current is not None
        return born < self.current.born

    def _update_current(self, heartbeat: Heartbeat, now: float) -> bool:
        assert self.current is not None
        if heartbeat.sequence <= self._sequence:
            return False
        if heartbeat.born and heartbeat.born < self.current.born:
            return False  # a late heartbeat of an earlier start under this id
        self._sequence = heartbeat.sequence
        return self._set_current(self.current.server, heartbeat, now)

    def _set_current(self, server: str, heartbeat: Heartbeat, now: float) -> bool:
        previous = self.current
        start = ServerStart(server, heartbeat.born or 0)
        leaving = heartbeat.state is ServerState.LEAVING
        if previous is not None and previous.start.may_equal(start):
            leaving = leaving or previous.leaving
            start = ServerStart(server, start.born or previous.born)
        current = RegisteredServer(
            server, heartbeat.slots, leaving, now + heartbeat.warm_in, start.born
        )
        self.current = current
        return previous is None or _differs(previous, current)

    def _retire_id(self, server: str) -> None:
        current = self.current
        born = current.born if current is not None and current.server == server else 0
        self._retired[server] = born or self._retired.get(server, 0)
        while len(self._retired) > MAX_RETIRED_IDS:
            self._retired.popitem(last=False)


def _differs(first: RegisteredServer, second: RegisteredServer) -> bool:
    """Whether two registrations differ in more than the time until the server has warmed up."""
    if not first.start.may_equal(second.start):
        return True
    return (first.slots, first.leaving) != (second.slots, second.leaving)
