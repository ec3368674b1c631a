"""Which backend server stands beside a daemon, by the server's own heartbeats.

Pure: it takes heartbeats, goodbyes and answers of the health endpoint, late and in any order,
and decides whether the server may get new work. Each start of a server has an id of its own. A
server that has reported that it leaves never gets new work again.

A heartbeat with a new id may come from a server that has just replaced the present one, or late
from one that crashed before it. The id in the health endpoint's answer decides.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

# Ids remembered so that their late heartbeats change nothing.
MAX_RETIRED = 1000
# Seconds between two heartbeats of a new id after which it is registered without an answer of
# the health endpoint. It is less than the pause between two heartbeats of a server that lives,
# and more than that between late ones of a dead server, which arrive together.
CLAIM_SECONDS = 1.0


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    LEAVING = "draining"  # takes no new work and ends


class Heartbeat(msgspec.Struct, frozen=True):
    """One heartbeat. `sequence` rises with each one of the same server.

    `warm_in` is the time in seconds that the server stays slow after its start.
    """

    pool: str
    address: str
    slots: int
    sequence: int
    state: ServerState = ServerState.READY
    warm_in: float = 0.0


@dataclass(frozen=True, slots=True)
class Registered:
    """The backend server that stands beside the daemon now.

    `slots` is its concurrency. `warm_at` is when it will be warm, in seconds, monotonic; None:
    it has not reported that.
    """

    server: str
    slots: int
    leaving: bool = False
    warm_at: float | None = None


@dataclass(frozen=True, slots=True)
class _Claim:
    """The first heartbeat of a new id while another was registered, which came at `since`."""

    server: str
    beat: Heartbeat
    since: float


@dataclass(slots=True)
class Registration:
    """The registration of one daemon's backend server."""

    pool: str
    address: str
    current: Registered | None = None
    _sequence: int = -1
    _claim: _Claim | None = None
    _retired: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def is_disputed(self) -> bool:
        """Whether two ids claim to be the server here: the health endpoint should be asked."""
        return self._claim is not None

    def on_heartbeat(self, server: str, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; whether `current` changed."""
        if server in self._retired or not self._is_ours(beat):
            return False
        if self._is_current(server):
            return self._update(beat, now)
        if self.current is not None:
            if not self.current.leaving and beat.state is ServerState.LEAVING:
                # Late, from a server that left before the present one came.
                self._retire(server)
                return False
            if not self._confirms_claim(server, beat, now):
                return False
        return self._take_over(server, beat, now)

    def on_goodbye(self, server: str) -> bool:
        """The server leaves for good; whether `current` changed."""
        self._retire(server)
        if self._claim is not None and self._claim.server == server:
            self._claim = None
        current = self.current
        if current is None or current.server != server or current.leaving:
            return False
        self.current = Registered(server, current.slots, True, current.warm_at)
        return True

    def on_health(
        self, server: str, slots: int, *, well: bool, warm_at: float | None = None
    ) -> bool:
        """The health endpoint answered as `server`; whether `current` changed.

        `well` is whether its status was good, `warm_at` when the server will be warm, None if
        the answer said nothing of it. The id always settles a dispute. Otherwise the answer
        counts only until the first heartbeat, as it may call a server well that is not, and the
        reverse.
        """
        if self._claim is not None:
            return self._settle(server)
        if self.current is not None or server in self._retired or not well:
            return False
        self.current = Registered(server, slots, warm_at=warm_at)
        return True

    def _confirms_claim(self, server: str, beat: Heartbeat, now: float) -> bool:
        """Note that a new id claims to be here; whether it has for `CLAIM_SECONDS`."""
        if self._claim is None or self._claim.server != server:
            self._claim = _Claim(server, beat, now)
            return False
        return now - self._claim.since >= CLAIM_SECONDS

    def _settle(self, server: str) -> bool:
        """`server` answered at the address, which ends a dispute; whether `current` changed."""
        claim = self._claim
        assert claim is not None
        if claim.server == server:
            return self._take_over(server, claim.beat, claim.since)
        self._claim = None
        self._retire(claim.server)
        return False

    def _take_over(self, server: str, beat: Heartbeat, now: float) -> bool:
        """A server that was not registered is the present one now."""
        if self.current is not None:
            self._retire(self.current.server)
        self._claim = None
        self._sequence = beat.sequence
        return self._set(server, beat, now)

    def _is_ours(self, beat: Heartbeat) -> bool:
        return beat.pool == self.pool and beat.address == self.address

    def _is_current(self, server: str) -> bool:
        return self.current is not None and self.current.server == server

    def _update(self, beat: Heartbeat, now: float) -> bool:
        assert self.current is not None
        if beat.sequence <= self._sequence:
            return False
        self._sequence = beat.sequence
        return self._set(self.current.server, beat, now)

    def _set(self, server: str, beat: Heartbeat, now: float) -> bool:
        before = self.current
        leaving = beat.state is ServerState.LEAVING
        if before is not None and before.server == server:
            leaving = leaving or before.leaving
        self.current = Registered(server, beat.slots, leaving, now + beat.warm_in)
        return before is None or (before.server, before.slots, before.leaving) != (
            server,
            beat.slots,
            leaving,
        )

    def _retire(self, server: str) -> None:
        self._retired[server] = None
        while len(self._retired) > MAX_RETIRED:
            self._retired.popitem(last=False)
