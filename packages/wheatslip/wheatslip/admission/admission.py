"""Admission at one backend server: which request starts, which waits, which is refused.

Pure decision code: the caller passes the time in (seconds, monotonic) and carries out what is
decided. One `Admission` is the only way to its backend server, so its count is exact.

Load pattern: more requests come than the server has slots for, in waves, while its speed
changes. What would be answered too late is refused at once, as long as it can be answered
elsewhere or its caller can come back; what may be in time waits.

The rules in the order in which an arrival meets them:

| rule | outcome | decided by |
|---|---|---|
| the gate is closed | refused for the first reason that holds | `ClosedBy` |
| its deadline has passed | refused | `arrive` |
| the server is slow, and the sender has others to try | refused, goes elsewhere | \
`goes_elsewhere` |
| there is room, no one waits, and no slow spell is to be waited out | starts | \
`_starts_at_once` |
| the expected wait is longer than the sender wants | refused | `arrive` |
| it would miss its deadline after the wait | refused | `is_too_late` |
| it would miss its target by the wait for others alone | refused | `_misses_target` |
| it may not be held | starts if its answer is not much too late, else refused | \
`_starts_late` |
| the queue is full, and no other workspace waits with more | refused | `_enqueue` |
| else | waits, until it starts or its latest start has passed | `admit`, `expire` |

There is room if a slot is free and, of a cold server, a start (`ColdStarts`). A call that waits
starts by its workspace's share and by need; one that will miss its target after the rest.
"""

from dataclasses import dataclass, field
from math import ceil

from wheatslip.admission.closures import Closures
from wheatslip.admission.coldstart import ColdStarts
from wheatslip.admission.gatequeue import GateQueue
from wheatslip.admission.slowserver import gain_of_probing, goes_elsewhere, waits_out
from wheatslip.admission.ticket import AdmissionSettings, Ticket
from wheatslip.admission.timing import ServiceTiming
from wheatslip.call import ANY_WAIT, Call, CallClass
from wheatslip.limit import ConcurrencyLimit
from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import overloaded


@dataclass(slots=True)
class Admission:
    """The gate of one backend server."""

    settings: AdmissionSettings
    timing: ServiceTiming = field(init=False)
    closures: Closures = field(init=False, default_factory=Closures)
    last_finished: float = float("-inf")
    cold: ColdStarts = field(init=False, default_factory=ColdStarts)
    _queue: GateQueue = field(init=False)
    _running: set[Ticket] = field(init=False, default_factory=set)
    _was_full: bool = field(init=False, default=False)  # a request had to wait or was refused

    def __post_init__(self) -> None:
        self.timing = ServiceTiming(ConcurrencyLimit(self.settings.slots))
        self._queue = GateQueue(self.settings.urgent_share)

    @property
    def limit(self) -> ConcurrencyLimit:
        """How many may run at one time."""
        return self.timing.limit

    @property
    def in_flight(self) -> int:
        """Requests the backend server is working on."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait here."""
        return len(self._queue)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Weights of the workspaces, by name; one that is missing has weight 1."""
        self._queue.set_shares(shares)

    def resize(self, settings: AdmissionSettings) -> None:
        """Take new bounds; what waits or runs stays."""
        if settings.slots != self.settings.slots:
            self.timing.limit = ConcurrencyLimit(settings.slots)
        self.settings = settings
        self._queue.set_urgent_share(settings.urgent_share)

    def gain_of_probing(self, call: Call, now: float) -> float:
        """What is saved on average if the server is probed before `call` starts, as a part of
        what an answer within its target is worth; 0 if the call can't start now.
        """
        if self.closures.holding:
            return 0.0
        if self.queued or not self._has_room(now):
            return 0.0  # it waits, and starts when an answer has reported the speed anew
        return gain_of_probing(self.timing, call, now)

    def expected_wait(self, call: Call, now: float) -> float:
        """Seconds until a call that arrives now would start, given its workspace's share."""
        has_slot = self.in_flight < self.limit.value
        if has_slot and not self.queued:
            return self.cold.wait(0, now)
        urgent = call.call_class is CallClass.URGENT
        ahead = self._queue.ahead_of(call.workspace, urgent=urgent)
        for_slot = (ahead + 1) / self.limit.value * self.timing.service_estimate(now)
        return max(for_slot, self.cold.wait(ahead, now))

    def cold_start_wait(self, now: float) -> float | None:
        """Seconds until a waiting request may start, if it waits only because the server is
        cold.
        """
        if not self.queued or self.in_flight >= self.limit.value:
            return None
        return self.cold.wait(0, now) or None

    def reported_limit(self, now: float) -> int:
        """Requests that may run at one time, for the load report: of a cold server no more than
        its rate keeps busy.
        """
        limit = self.limit.value
        if self.cold.rate is None or not self.cold.is_cold(now):
            return limit
        kept_busy = ceil(self.cold.rate.per_second * self.timing.service_estimate(now))
        return max(1, min(limit, kept_busy))

    def arrive(self, call: Call, now: float, max_wait: float = ANY_WAIT) -> Ticket | NotRun:
        """Take a request: a started ticket runs, another waits; or it is refused.

        `max_wait`: the sender would rather try elsewhere than wait so many seconds.
        """
        closed_by = self.closures.holding
        if closed_by:
            return closed_by[0].refusal
        if call.remaining(now) <= 0:
            return NotRun(Reason.DEADLINE)
        if goes_elsewhere(self.timing, call, max_wait, now):
            return overloaded(0.0)
        ticket = Ticket(call, now, max_wait=max_wait)
        if self._starts_at_once(ticket, now):
            return ticket
        wait = self.expected_wait(call, now)
        if wait > max_wait or self.timing.is_too_late(call, wait, now):
            return overloaded(wait)
        if self._misses_target(call, wait, now):
            return overloaded(wait)
        if call.hold_until <= now:
            return ticket if self._starts_late(ticket, now) else overloaded(wait)
        return ticket if self._enqueue(ticket) else overloaded(wait)

    def finish(self, ticket: Ticket, now: float, *, worked: bool) -> list[Ticket]:
        """A started request has ended. `worked`: its time shows the server's speed.

        Returns the tickets that start now.
        """
        assert ticket.started is not None
        if ticket not in self._running:
            return []
        self._running.remove(ticket)
        self.timing.on_end(ticket.started)
        self.last_finished = now
        took = now - ticket.started
        if worked and self.timing.observe(ticket, took, saturated=self._was_full):
            self._was_full = bool(self.queued)
        return self.admit(now)

    def take_for_elsewhere(self, now: float) -> list[Ticket]:
        """Take out of the queue what another server should rather take, as this one is slow."""
        found = [
            ticket
            for ticket in self._queue
            if goes_elsewhere(self.timing, ticket.call, ticket.max_wait, now)
        ]
        for ticket in found:
            self._queue.remove(ticket)
        return found

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out of the queue; False if it does not wait."""
        if ticket.started is not None:
            return False
        return self._queue.remove(ticket)

    def admit(self, now: float) -> list[Ticket]:
        """Start waiting requests while there is room."""
        started = []
        passed_over = []
        while self._has_room(now):
            ticket = self._queue.pop()
            if ticket is None:
                break
            if waits_out(self.timing, ticket.call, now):
                passed_over.append(ticket)
            elif not self._falls_behind(ticket, now):
                self._start(ticket, now)
                started.append(ticket)
        for ticket in passed_over:
            self._queue.push(ticket)
        return started

    def expire(self, ticket: Ticket, now: float) -> bool:
        """The latest start of a waiting ticket has passed: it leaves the queue. Whether it
        starts after all.
        """
        self._queue.remove(ticket)
        return not self.closures.holding and self._starts_late(ticket, now)

    def refusal_after_wait(self, call: Call, now: float) -> NotRun:
        """The refusal of a call that has waited and does not start."""
        if call.hold_until > now:
            return NotRun(Reason.DEADLINE)
        return overloaded(self.expected_wait(call, now))

    def evicted(self) -> list[Ticket]:
        """Tickets pushed out of a full queue since the last call."""
        return self._queue.take_evicted()

    def _starts_at_once(self, ticket: Ticket, now: float) -> bool:
        """Start a ticket if nothing is in its way; whether it has started."""
        has_room = self._has_room(now)
        if has_room and not self.queued and not waits_out(self.timing, ticket.call, now):
            self._start(ticket, now)
            return True
        self._was_full = self._was_full or not has_room
        return False

    def _misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call will miss its target by the wait for others, or for a cold server. One
        that waits only for the end of a slow spell may still meet it.
        """
        waits_for_cold_start = self.cold.wait(0, now) > 0
        if self.in_flight + self.queued < self.limit.value and not waits_for_cold_start:
            return False
        return self.timing.misses_target(call, wait, now)

    def _starts_late(self, ticket: Ticket, now: float) -> bool:
        """Start a ticket that can't wait any longer, if its answer is still worth the slot;
        whether it has started.
        """
        if not self._has_room(now):
            return False
        is_idle = 2 * self.in_flight <= self.limit.value
        if not self.timing.may_start_late(ticket.call, now, is_idle=is_idle):
            return False
        self._start(ticket, now)
        return True

    def _falls_behind(self, ticket: Ticket, now: float) -> bool:
        """Put a ticket that will miss its target behind all that may meet theirs.

        It keeps its place if it is there already, or if no one else waits.
        """
        call = ticket.call
        if ticket.late or not self.queued:
            return False
        if now + self.timing.present_time(call, now) <= call.target:
            return False
        ticket.late = True
        self._queue.push(ticket)
        return True

    def _enqueue(self, ticket: Ticket) -> bool:
        """Let a ticket wait; False if the queue is full and no room is made for it."""
        is_full = len(self._queue) >= self.settings.queue
        if is_full and not self._queue.make_room(ticket):
            return False
        self._queue.push(ticket)
        return True

    def _has_room(self, now: float) -> bool:
        """Whether one more may start: there is a slot, and a cold server bears it."""
        return self.in_flight < self.limit.value and self.cold.wait(0, now) <= 0

    def _start(self, ticket: Ticket, now: float) -> None:
        self.cold.on_start(now)
        self.timing.on_start(ticket, now)
        self._running.add(ticket)
