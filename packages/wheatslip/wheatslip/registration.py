"""What a daemon knows of the backend server beside it, from the server's own heartbeats.

Pure: heartbeats, goodbyes and answers of the health endpoint come in, late and out of order
as they may be; out comes whether the server may get new work. Each start of a server has an
id of its own. One that has said it leaves never gets new work again.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

MAX_RETIRED = 1000  # ids remembered so that their late heartbeats change nothing


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


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
    """The backend server that stands beside the daemon now."""

    server: str
    slots: int
    draining: bool = False
    warm_at: float = 0.0  # seconds, monotonic


@dataclass(slots=True)
class Registration:
    """The registration of one daemon's backend server."""

    pool: str
    address: str
    current: Registered | None = None
    _sequence: int = -1
    _retired: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def on_heartbeat(self, server: str, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; whether `current` changed."""
        if server in self._retired or not self._is_ours(beat):
            return False
        if self._is_current(server):
            return self._update(beat, now)
        if self.current is not None:
            if not self.current.draining and beat.state is ServerState.DRAINING:
                # A late word of one that went before: the server here is not meant.
                self._retire(server)
                return False
            self._retire(self.current.server)
        self._sequence = beat.sequence
        return self._set(server, beat, now)

    def on_goodbye(self, server: str) -> bool:
        """The server leaves for good; whether `current` changed."""
        self._retire(server)
        current = self.current
        if current is None or current.server != server or current.draining:
            return False
        self.current = Registered(server, current.slots, draining=True)
        return True

    def on_health(self, server: str, slots: int, *, well: bool) -> bool:
        """The health endpoint told who is there; whether `current` changed.

        It counts only until the first heartbeat, as health may be wrong in both ways.
        """
        if self.current is not None or server in self._retired or not well:
            return False
        self.current = Registered(server, slots)
        return True

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
        draining = beat.state is ServerState.DRAINING
        if before is not None and before.server == server:
            draining = draining or before.draining
        warm_at = now + beat.warm_in if beat.warm_in > 0 else 0.0
        self.current = Registered(server, beat.slots, draining, warm_at)
        return before is None or (before.server, before.slots, before.draining) != (
            server,
            beat.slots,
            draining,
        )

    def _retire(self, server: str) -> None:
        self._retired[server] = None
        while len(self._retired) > MAX_RETIRED:
            self._retired.popitem(last=False)
