"""Admission at one backend server: how many requests run, who waits, who is refused.

Pure decision code: the caller passes the time in (seconds, monotonic) and carries out what
is decided. One `Admission` is the only way to its backend server, so its count is exact.
"""

from dataclasses import dataclass, field

from wheatslip.call import Call, CallClass
from wheatslip.fairqueue import FairQueue
from wheatslip.limit import ConcurrencyLimit
from wheatslip.outcome import NotRun, Reason
from wheatslip.servicetimes import ServiceTimes
from wheatslip.speed import SLOW, SpeedModel

MIN_RETRY_AFTER = 0.05  # seconds
NOT_READY_RETRY_AFTER = 0.2
DEFAULT_URGENT_SHARE = 0.25
ANY_WAIT = float("inf")
LATE = 1e9  # seconds; puts what is late behind what is not, and in order among itself
SAME_SPEED = 1.3  # factor between two tellings of the slowness that count as the same
LAST_RESORT = 1.5  # part of the time to the target that a call may take which waited in vain
LAST_RESORT_LEFT = 0.4  # part of the time to the deadline that it may take all the same
UNKNOWN_SHARE = 0.3  # part of the time to the target that an unknown kind of call takes
CLOSE_MISS = 0.9  # part of the time left to the target that a slow answer may take
# What a needless refusal at a server that has become fast again costs, as a part of what an
# answer within its target is worth: a try elsewhere, or a wait until the speed is asked for.
REFUSAL_LOSS = 0.1


@dataclass(slots=True, eq=False)
class Ticket:
    """One request at the gate. `started` is None while it waits."""

    call: Call
    arrived: float
    started: float | None = None
    # Of the backend server when the request started; None: not known.
    slowness: float | None = 1.0
    max_wait: float = ANY_WAIT  # what it was sent with; see `Admission.arrive`
    late: bool = False  # it will miss its target, so it goes after those that may meet theirs


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of one gate. `slots` 0 means: find the concurrency limit."""

    slots: int = 0
    queue: int = 64
    urgent_share: float = DEFAULT_URGENT_SHARE


@dataclass(slots=True)
class Admission:
    """The gate of one backend server."""

    settings: AdmissionSettings
    limit: ConcurrencyLimit = field(init=False)
    draining: bool = False
    unknown: bool = False  # whose gate it is, is not known yet
    lost: bool = False  # the server resets what is sent to it
    last_finished: float = float("-inf")
    slowness: float = 1.0  # how long work takes at the server now, as a part of the usual
    is_speed_known: bool = True  # whether `slowness` was told, where a server tells it
    speed: SpeedModel = field(init=False, default_factory=SpeedModel)
    _times: ServiceTimes = field(init=False, default_factory=ServiceTimes)
    _queue: FairQueue[Ticket] = field(init=False)
    _running: set[Ticket] = field(init=False, default_factory=set)
    _started_sum: float = field(init=False, default=0.0)
    _was_full: bool = field(init=False, default=False)  # someone had to wait or go away

    def __post_init__(self) -> None:
        self.limit = ConcurrencyLimit(self.settings.slots)
        self._queue = FairQueue(self.settings.urgent_share)

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
        self._queue.shares = shares

    def resize(self, settings: AdmissionSettings) -> None:
        """Take new bounds; what waits or runs stays."""
        if settings.slots != self.settings.slots:
            self.limit = ConcurrencyLimit(settings.slots)
        self.settings = settings
        self._queue.urgent_share = settings.urgent_share

    def learn_speed(self, slowness: float, now: float) -> None:
        """The backend server told how long work takes there, as a part of the usual."""
        self.slowness = slowness
        self.is_speed_known = True
        self.speed.told(slowness, now)

    def forget_speed(self) -> None:
        """Another backend server stands here: how fast it is, is not known until it tells."""
        self.is_speed_known = False
        self.speed.forget()

    def gain_of_asking(self, call: Call, now: float) -> float:
        """What is saved on average if the server is asked for its speed before `call` starts,
        as a part of what an answer within the target is worth.

        Only a call that could start now, and meets its target if the server is fast but misses
        it if slow, gains: told fast it may be spared a slow start, told slow a refusal.
        """
        if self.unknown or self.draining or self.lost:
            return 0.0
        if self.queued or self.in_flight >= self.limit.value:
            return 0.0  # it waits, and starts when an answer has told the speed anew
        left = min(call.target, call.deadline) - now
        at_pace = self._at_pace(call, now)
        if at_pace > left or at_pace * self.speed.factor <= left:
            return 0.0
        slow = self.speed.slow_chance(now)
        return (1.0 - slow) * REFUSAL_LOSS if self._in_slow_stretch else slow

    def service_estimate(self, now: float) -> float:
        """Seconds one request takes now."""
        return self.usual_service(now) * self.slowness

    def usual_service(self, now: float) -> float:
        """Seconds one request takes when the server is as fast as usual.

        The age of what runs counts too, so that a server which stopped answering is seen
        before its first slow answer comes.
        """
        estimate = self.limit.service
        if not self._running:
            return estimate
        mean_age = now - self._started_sum / len(self._running)
        # Of requests caught at a random moment, the mean age equals the mean service time
        # only in the worst case; beyond twice the estimate it speaks of a slow-down.
        return mean_age if mean_age > 2 * estimate * max(1.0, self.slowness) else estimate

    def expected_wait(self, call: Call, now: float) -> float:
        """Seconds until a call that arrives now would start, given its workspace's share."""
        if self.in_flight < self.limit.value and not self.queued:
            return 0.0
        urgent = call.call_class is CallClass.URGENT
        ahead = self._queue.ahead_of(call.workspace, urgent=urgent)
        return (ahead + 1) / self.limit.value * self.service_estimate(now)

    def arrive(self, call: Call, now: float, max_wait: float = ANY_WAIT) -> Ticket | NotRun:
        """Take a request: a started ticket runs, another waits; or it is refused.

        `max_wait`: the sender would rather try elsewhere than wait so many seconds.
        """
        if self.unknown:
            return NotRun(Reason.NOT_READY, NOT_READY_RETRY_AFTER)
        if self.draining:
            return NotRun(Reason.DRAINING)
        if self.lost:
            return NotRun(Reason.UNREACHABLE, NOT_READY_RETRY_AFTER)
        if call.remaining(now) <= 0:
            return NotRun(Reason.DEADLINE)
        ticket = Ticket(call, now, max_wait=max_wait)
        if max_wait < ANY_WAIT and self._is_better_elsewhere(call, max_wait, now):
            return self._refusal(0.0)
        has_room = self.in_flight < self.limit.value
        if has_room and not self.queued and not self._waits_out(call, now):
            self._start(ticket, now)
            return ticket
        self._was_full = self._was_full or not has_room
        wait = self.expected_wait(call, now)
        if wait > max_wait or self._too_late(call, wait, now):
            return self._refusal(wait)
        if self._misses_target(call, wait, now):
            return self._refusal(wait)
        if call.hold_until <= now:
            return ticket if self.expire(ticket, now) else self._refusal(wait)
        return self._enqueue(ticket, wait)

    def finish(self, ticket: Ticket, now: float, *, worked: bool) -> list[Ticket]:
        """A started request has ended. `worked`: its time tells of the server's speed.

        Returns the tickets that start now.
        """
        assert ticket.started is not None
        if ticket not in self._running:
            return []
        self._running.remove(ticket)
        self._started_sum -= ticket.started
        self.last_finished = now
        if worked:
            self._observe(ticket, now - ticket.started)
        return self.admit(now)

    def _observe(self, ticket: Ticket, took: float) -> None:
        """Learn from a request that took so many seconds.

        How long work takes is settled when it starts. What started at a speed that was not
        known, or was told too late, says nothing of the usual speed.
        """
        if ticket.slowness is None or not _is_same_speed(ticket.slowness, self.slowness):
            return
        usual = took / max(1.0, ticket.slowness)
        self.limit.observe(usual, saturated=self._was_full)
        self._times.observe(ticket.call.kind.name, usual)
        self._was_full = bool(self.queued)

    def better_elsewhere(self, now: float) -> list[Ticket]:
        """Take out of the queue what another server should rather take, as this one is slow."""
        if self.slowness < SLOW:
            return []
        found = [
            ticket
            for ticket in self._queue
            if ticket.max_wait < ANY_WAIT
            and self._is_better_elsewhere(ticket.call, ticket.max_wait, now)
        ]
        for ticket in found:
            self._queue.remove(ticket.call.workspace, ticket)
        return found

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out of the queue; False if it does not wait."""
        if ticket.started is not None:
            return False
        return self._queue.remove(ticket.call.workspace, ticket)

    def admit(self, now: float) -> list[Ticket]:
        """Start waiting requests while there is room."""
        started = []
        passed_over = []
        while self.in_flight < self.limit.value:
            ticket = self._queue.pop()
            if ticket is None:
                break
            if self._waits_out(ticket.call, now):
                passed_over.append(ticket)
            elif not self._falls_behind(ticket, now):
                self._start(ticket, now)
                started.append(ticket)
        for ticket in passed_over:
            self._push(ticket)
        return started

    def expire(self, ticket: Ticket, now: float) -> bool:
        """A waiting ticket has waited as long as it may; whether it starts after all.

        If not it leaves the queue. A server that is slow now still starts what comes not much
        too late by it; for anything else a refusal in time is better.
        """
        self._queue.remove(ticket.call.workspace, ticket)
        if self.in_flight >= self.limit.value or self.draining or self.lost:
            return False
        call = ticket.call
        bound = LAST_RESORT * (call.target - now)
        if call.target < ANY_WAIT:
            # Whoever waits much longer than the target wants a late answer rather than none.
            bound = max(bound, LAST_RESORT_LEFT * call.remaining(now))
        if self._takes(call, now) > bound:
            return False
        self._start(ticket, now)
        return True

    @property
    def _in_slow_stretch(self) -> bool:
        """Whether the server is slower than its pace, so that it will be faster soon."""
        return self.slowness >= SLOW * self.speed.pace

    def _waits_out(self, call: Call, now: float) -> bool:
        """Whether a call should wait until a slow stretch of the server is over: started now
        it would miss its target, and it would hold a slot for long.
        """
        if not self._in_slow_stretch or call.target == ANY_WAIT:
            return False
        return now + self._at_pace(call, now) <= call.target < now + self._takes(call, now)

    def _misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that has to wait will miss its target, by the queue that is known.

        Its caller hears so at once instead of after a wait. Against holding each call for a
        quarter of its target: worth of a day 0.48 -> 0.53 and 0.40 -> 0.43 (two sites at high
        load, one seed each), 0.76 -> 0.77 on a quiet day.
        """
        if call.hold_until == ANY_WAIT or call.target == ANY_WAIT:
            return False
        if self.in_flight + self.queued < self.limit.value:
            return False  # it waits for a slow stretch to end, not for others
        return now + wait + self._at_pace(call, now) > call.target

    def _falls_behind(self, ticket: Ticket, now: float) -> bool:
        """Put a ticket that will miss its target behind all that may meet theirs.

        It keeps its turn if it is there already, or if no one else waits.
        """
        call = ticket.call
        if ticket.late or not self.queued:
            return False
        if now + self._takes(call, now) <= call.target:
            return False
        ticket.late = True
        self._push(ticket)
        return True

    def _push(self, ticket: Ticket) -> None:
        """Queue a ticket by the time it is needed, what is late behind the rest."""
        call = ticket.call
        order = LATE + call.deadline if ticket.late else min(call.deadline, call.target)
        urgent = call.call_class is CallClass.URGENT
        self._queue.push(call.workspace, order, ticket, urgent=urgent)

    def latest_start(self, call: Call, now: float) -> float:
        """The moment until which a request may wait: then it can't meet its deadline any more,
        or it misses its target even on a fast server, and its caller rather hears a refusal.
        """
        needed = min(self._takes(call, now), call.remaining(now) / 2)
        latest = min(call.deadline - needed, call.hold_until)
        if call.hold_until < ANY_WAIT:
            latest = min(latest, call.target - self._at_pace(call, now))
        return latest

    def evicted(self) -> list[Ticket]:
        """Tickets pushed out of a full queue since the last call."""
        return self._queue.take_evicted()

    def _enqueue(self, ticket: Ticket, wait: float) -> Ticket | NotRun:
        call = ticket.call
        urgent = call.call_class is CallClass.URGENT
        is_full = len(self._queue) >= self.settings.queue
        if is_full and (urgent or not self._queue.evict_for(call.workspace)):
            return self._refusal(wait)
        self._push(ticket)
        return ticket

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started = now
        ticket.slowness = self.slowness if self.is_speed_known else None
        self._running.add(ticket)
        self._started_sum += now

    def _is_better_elsewhere(self, call: Call, max_wait: float, now: float) -> bool:
        """Whether the server is so slow now that another one should take the call."""
        if self.slowness < SLOW:
            return False
        if call.target == ANY_WAIT:
            return (self.slowness - 1.0) * self._usual_service_of(call, now) > max_wait
        # Slow or not, an answer within the target is as good as any. The estimate may be
        # off, and going elsewhere has its price, so a close miss is risked.
        return self._takes(call, now) > CLOSE_MISS * (call.target - now)

    def _at_pace(self, call: Call, now: float) -> float:
        """Seconds that a call takes outside the server's slow stretches."""
        return self._usual_service_of(call, now) * self.speed.pace

    def _takes(self, call: Call, now: float) -> float:
        """Seconds that a call takes if it starts now."""
        return self._usual_service_of(call, now) * self.slowness

    def _usual_service_of(self, call: Call, now: float) -> float:
        """Seconds that a call of this kind takes when the server is as fast as usual."""
        known = self._times.of(call.kind.name)
        if known is not None:
            return known
        if call.target < ANY_WAIT:
            return UNKNOWN_SHARE * max(0.0, call.target - now)
        return self.usual_service(now)

    def _too_late(self, call: Call, wait: float, now: float) -> bool:
        return call.remaining(now) < wait + self._takes(call, now)

    def _refusal(self, wait: float) -> NotRun:
        return NotRun(Reason.OVERLOADED, max(MIN_RETRY_AFTER, wait))


def _is_same_speed(one: float, other: float) -> bool:
    return max(one, other) <= SAME_SPEED * min(one, other)
