"""Admission at one backend server: how many requests run, who waits, who is refused.

Pure decision code: the caller passes the time in (seconds, monotonic) and carries out what
is decided. One `Admission` is the only way to its backend server, so its count is exact.

The rules, in the order in which an arrival meets them:

| rule | outcome |
|---|---|
| the gate is closed | refused, as the table in `closures` says |
| the deadline has passed | refused |
| the server is slow now, and the sender has others to try | refused, goes elsewhere |
| there is a free slot, no one waits, no slow stretch is waited out, and a cold server has a \
turn for it | starts |
| the expected wait is beyond the sender's bound, or the deadline | refused |
| the queue alone makes it miss its target | refused |
| it may not be held | starts if its answer is not much too late, else refused |
| the queue is full, and no other workspace waits with more | refused |
| else | waits, by need; what will miss its target behind the rest |
"""

from dataclasses import dataclass, field
from math import ceil

from wheatslip.admission.closures import Closures
from wheatslip.admission.coldturns import ColdTurns
from wheatslip.admission.judgement import Judgement
from wheatslip.admission.line import WaitingLine
from wheatslip.admission.ticket import (
    AdmissionSettings,
    Ticket,
)
from wheatslip.call import ANY_WAIT, Call, CallClass
from wheatslip.limit import ConcurrencyLimit
from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import overloaded
from wheatslip.speed import SLOW, SpeedModel

LAST_RESORT = 1.5  # part of the time to the target that a call may take which waited in vain
LAST_RESORT_LEFT = 0.4  # part of the time to the deadline that it may take all the same
# The same with half of the slots free: it keeps no one waiting, so it starts if it meets its
# deadline, with room for the error of the estimate. A call that another request made fails that
# one if it is refused. Worth of a day 0.736 -> 0.768, 0.789 -> 0.798 (13 servers, high load).
LAST_RESORT_LEFT_IDLE = 0.8
# What a needless refusal at a server that has become fast again costs, as a part of what an
# answer within its target is worth: a try elsewhere, or a wait until the speed is asked for.
REFUSAL_LOSS = 0.1


@dataclass(slots=True)
class Admission:
    """The gate of one backend server."""

    settings: AdmissionSettings
    judgement: Judgement = field(init=False)
    closures: Closures = field(init=False, default_factory=Closures)
    last_finished: float = float("-inf")
    cold: ColdTurns = field(init=False, default_factory=ColdTurns)
    _line: WaitingLine = field(init=False)
    _running: set[Ticket] = field(init=False, default_factory=set)
    _was_full: bool = field(init=False, default=False)  # someone had to wait or go away

    def __post_init__(self) -> None:
        self.judgement = Judgement(ConcurrencyLimit(self.settings.slots))
        self._line = WaitingLine(self.settings.urgent_share)

    @property
    def limit(self) -> ConcurrencyLimit:
        """How many may run at one time."""
        return self.judgement.limit

    @property
    def speed(self) -> SpeedModel:
        """What is known of the server's slow stretches."""
        return self.judgement.speed

    @property
    def slowness(self) -> float:
        """How long work takes at the server now, as a part of the usual."""
        return self.judgement.slowness

    @slowness.setter
    def slowness(self, slowness: float) -> None:
        self.judgement.slowness = slowness

    @property
    def is_speed_known(self) -> bool:
        """Whether the slowness was told, where a server tells it."""
        return self.judgement.is_speed_known

    @is_speed_known.setter
    def is_speed_known(self, known: bool) -> None:
        self.judgement.is_speed_known = known

    @property
    def in_flight(self) -> int:
        """Requests the backend server is working on."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Requests that wait here."""
        return len(self._line)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Weights of the workspaces, by name; one that is missing has weight 1."""
        self._line.set_shares(shares)

    def resize(self, settings: AdmissionSettings) -> None:
        """Take new bounds; what waits or runs stays."""
        if settings.slots != self.settings.slots:
            self.judgement.limit = ConcurrencyLimit(settings.slots)
        self.settings = settings
        self._line.set_urgent_share(settings.urgent_share)

    def learn_speed(self, slowness: float, now: float) -> None:
        """The backend server told how long work takes there, as a part of the usual."""
        self.judgement.learn_speed(slowness, now)

    def forget_speed(self) -> None:
        """Another backend server stands here: how fast it is, is not known until it tells."""
        self.judgement.forget_speed()

    def gain_of_asking(self, call: Call, now: float) -> float:
        """What is saved on average if the server is asked for its speed before `call` starts,
        as a part of what an answer within the target is worth.

        Only a call that could start now, and meets its target if the server is fast but misses
        it if slow, gains: told fast it may be spared a slow start, told slow a refusal.
        """
        if self.closures.holding:
            return 0.0
        if self.queued or not self._has_room(now):
            return 0.0  # it waits, and starts when an answer has told the speed anew
        left = min(call.target, call.deadline) - now
        at_pace = self.judgement.at_pace(call, now)
        if at_pace > left or at_pace * self.speed.factor <= left:
            return 0.0
        slow = self.speed.slow_chance(now)
        return (1.0 - slow) * REFUSAL_LOSS if self.judgement.in_slow_stretch else slow

    def service_estimate(self, now: float) -> float:
        """Seconds one request takes now."""
        return self.judgement.service_estimate(now)

    def usual_service(self, now: float) -> float:
        """Seconds one request takes when the server is as fast as usual."""
        return self.judgement.usual_service(now)

    def expected_wait(self, call: Call, now: float) -> float:
        """Seconds until a call that arrives now would start, given its workspace's share."""
        has_slot = self.in_flight < self.limit.value
        if has_slot and not self.queued:
            return self.cold.wait(0, now)
        urgent = call.call_class is CallClass.URGENT
        ahead = self._line.ahead_of(call.workspace, urgent=urgent)
        for_slot = (ahead + 1) / self.limit.value * self.service_estimate(now)
        return max(for_slot, self.cold.wait(ahead, now))

    def turn_wait(self, now: float) -> float | None:
        """Seconds until one that waits may start, if it waits for nothing but a turn at a cold
        server.
        """
        if not self.queued or self.in_flight >= self.limit.value:
            return None
        return self.cold.wait(0, now) or None

    def reported_limit(self, now: float) -> int:
        """Requests that may run at one time, as others should reckon with: of a cold server no
        more than its rate keeps busy.
        """
        limit = self.limit.value
        if self.cold.rate is None or not self.cold.is_cold(now):
            return limit
        kept_busy = ceil(self.cold.rate.per_second * self.service_estimate(now))
        return max(1, min(limit, kept_busy))

    def arrive(self, call: Call, now: float, max_wait: float = ANY_WAIT) -> Ticket | NotRun:
        """Take a request: a started ticket runs, another waits; or it is refused.

        `max_wait`: the sender would rather try elsewhere than wait so many seconds.
        """
        closed = self.closures.refusal
        if closed is not None:
            return closed
        if call.remaining(now) <= 0:
            return NotRun(Reason.DEADLINE)
        ticket = Ticket(call, now, max_wait=max_wait)
        if max_wait < ANY_WAIT and self.judgement.is_better_elsewhere(call, max_wait, now):
            return overloaded(0.0)
        has_room = self._has_room(now)
        if has_room and not self.queued and not self.judgement.waits_out(call, now):
            self._start(ticket, now)
            return ticket
        self._was_full = self._was_full or not has_room
        wait = self.expected_wait(call, now)
        if wait > max_wait or self.judgement.is_too_late(call, wait, now):
            return overloaded(wait)
        if self._misses_target(call, wait, now):
            return overloaded(wait)
        if call.hold_until <= now:
            return ticket if self.expire(ticket, now) else overloaded(wait)
        return self._enqueue(ticket, wait)

    def finish(self, ticket: Ticket, now: float, *, worked: bool) -> list[Ticket]:
        """A started request has ended. `worked`: its time tells of the server's speed.

        Returns the tickets that start now.
        """
        assert ticket.started is not None
        if ticket not in self._running:
            return []
        self._running.remove(ticket)
        self.judgement.on_end(ticket.started)
        self.last_finished = now
        took = now - ticket.started
        if worked and self.judgement.observe(ticket, took, saturated=self._was_full):
            self._was_full = bool(self.queued)
        return self.admit(now)

    def better_elsewhere(self, now: float) -> list[Ticket]:
        """Take out of the queue what another server should rather take, as this one is slow."""
        if self.slowness < SLOW:
            return []
        found = [
            ticket
            for ticket in self._line
            if ticket.max_wait < ANY_WAIT
            and self.judgement.is_better_elsewhere(ticket.call, ticket.max_wait, now)
        ]
        for ticket in found:
            self._line.remove(ticket)
        return found

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out of the queue; False if it does not wait."""
        if ticket.started is not None:
            return False
        return self._line.remove(ticket)

    def admit(self, now: float) -> list[Ticket]:
        """Start waiting requests while there is room."""
        started = []
        passed_over = []
        while self._has_room(now):
            ticket = self._line.pop()
            if ticket is None:
                break
            if self.judgement.waits_out(ticket.call, now):
                passed_over.append(ticket)
            elif not self._falls_behind(ticket, now):
                self._start(ticket, now)
                started.append(ticket)
        for ticket in passed_over:
            self._line.push(ticket)
        return started

    def expire(self, ticket: Ticket, now: float) -> bool:
        """A waiting ticket has waited as long as it may; whether it starts after all.

        If not it leaves the queue. A server that is slow now still starts what comes not much
        too late by it; for anything else a refusal in time is better.
        """
        self._line.remove(ticket)
        if not self._has_room(now) or self.closures.holding:
            return False
        call = ticket.call
        bound = LAST_RESORT * (call.target - now)
        if call.target < ANY_WAIT:
            # Whoever waits much longer than the target wants a late answer rather than none.
            is_idle = 2 * self.in_flight <= self.limit.value
            left = LAST_RESORT_LEFT_IDLE if is_idle else LAST_RESORT_LEFT
            bound = max(bound, left * call.remaining(now))
        if self.judgement.takes(call, now) > bound:
            return False
        self._start(ticket, now)
        return True

    def latest_start(self, call: Call, now: float) -> float:
        """The moment until which a request may wait."""
        return self.judgement.latest_start(call, now)

    def evicted(self) -> list[Ticket]:
        """Tickets pushed out of a full queue since the last call."""
        return self._line.take_evicted()

    def _misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that has to wait will miss its target, by the queue that is known.

        Its caller hears so at once instead of after a wait. Against holding each call for a
        quarter of its target: worth of a day 0.48 -> 0.53 and 0.40 -> 0.43 (two sites at high
        load, one seed each), 0.76 -> 0.77 on a quiet day.
        """
        if call.hold_until == ANY_WAIT or call.target == ANY_WAIT:
            return False
        waits_for_turn = self.cold.wait(0, now) > 0
        if self.in_flight + self.queued < self.limit.value and not waits_for_turn:
            return False  # it waits for a slow stretch to end, not for others
        return now + wait + self.judgement.at_pace(call, now) > call.target

    def _falls_behind(self, ticket: Ticket, now: float) -> bool:
        """Put a ticket that will miss its target behind all that may meet theirs.

        It keeps its turn if it is there already, or if no one else waits.
        """
        call = ticket.call
        if ticket.late or not self.queued:
            return False
        if now + self.judgement.takes(call, now) <= call.target:
            return False
        ticket.late = True
        self._line.push(ticket)
        return True

    def _enqueue(self, ticket: Ticket, wait: float) -> Ticket | NotRun:
        is_full = len(self._line) >= self.settings.queue
        if is_full and not self._line.make_room(ticket):
            return overloaded(wait)
        self._line.push(ticket)
        return ticket

    def _has_room(self, now: float) -> bool:
        """Whether one more may start: there is a slot, and a turn if the server is cold."""
        return self.in_flight < self.limit.value and self.cold.wait(0, now) <= 0

    def _start(self, ticket: Ticket, now: float) -> None:
        self.cold.on_start(now)
        self.judgement.on_start(ticket, now)
        self._running.add(ticket)
