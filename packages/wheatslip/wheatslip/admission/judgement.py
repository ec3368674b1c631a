"""The judgement of time at one gate: how long a call takes there, and whether it is in time.

Load pattern: a backend server that shares its machine turns slow for some tenths of a second,
so a call started now may take some times as long as one started a moment later.
"""

from dataclasses import dataclass, field

from wheatslip.admission.ticket import Ticket
from wheatslip.call import ANY_WAIT, Call
from wheatslip.limit import ConcurrencyLimit
from wheatslip.servicetimes import ServiceTimes
from wheatslip.speed import SLOW, SpeedModel

SAME_SPEED = 1.3  # factor between two tellings of the slowness that count as the same
UNKNOWN_SHARE = 0.3  # part of the time to the target that an unknown kind of call takes
CLOSE_MISS = 0.9  # part of the time left to the target that a slow answer may take
# A mean age of what runs beyond so many service times speaks of a slow-down: of requests caught
# at a random moment, the mean age equals the mean service time only in the worst case.
OLD_AGE = 2


@dataclass(slots=True)
class Judgement:
    """What is known of one backend server's speed. Times in seconds."""

    limit: ConcurrencyLimit
    slowness: float = 1.0  # how long work takes at the server now, as a part of the usual
    is_speed_known: bool = True  # whether `slowness` was told, where a server tells it
    speed: SpeedModel = field(default_factory=SpeedModel)
    _times: ServiceTimes = field(default_factory=ServiceTimes)
    _running: int = 0
    _started_sum: float = 0.0

    def learn_speed(self, slowness: float, now: float) -> None:
        """The backend server told how long work takes there, as a part of the usual."""
        self.slowness = slowness
        self.is_speed_known = True
        self.speed.told(slowness, now)

    def forget_speed(self) -> None:
        """Another backend server stands here: how fast it is, is not known until it tells."""
        self.is_speed_known = False
        self.speed.forget()

    def on_start(self, ticket: Ticket, now: float) -> None:
        """A request starts."""
        ticket.started = now
        ticket.slowness = self.slowness if self.is_speed_known else None
        self._running += 1
        self._started_sum += now

    def on_end(self, started: float) -> None:
        """A request that started at `started` has ended."""
        self._running -= 1
        self._started_sum -= started

    def observe(self, ticket: Ticket, took: float, *, saturated: bool) -> bool:
        """Learn from a request that took so many seconds; whether it told anything.

        How long work takes is settled when it starts. What started at a speed that was not
        known, or was told too late, says nothing of the usual speed.
        """
        if ticket.slowness is None or not _is_same_speed(ticket.slowness, self.slowness):
            return False
        usual = took / max(1.0, ticket.slowness)
        self.limit.observe(usual, saturated=saturated)
        self._times.observe(ticket.call.kind.name, usual)
        return True

    @property
    def in_slow_stretch(self) -> bool:
        """Whether the server is slower than its pace, so that it will be faster soon."""
        return self.slowness >= SLOW * self.speed.pace

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
        mean_age = now - self._started_sum / self._running
        return mean_age if mean_age > OLD_AGE * estimate * max(1.0, self.slowness) else estimate

    def at_pace(self, call: Call, now: float) -> float:
        """Seconds that a call takes outside the server's slow stretches."""
        return self._usual_service_of(call, now) * self.speed.pace

    def takes(self, call: Call, now: float) -> float:
        """Seconds that a call takes if it starts now."""
        return self._usual_service_of(call, now) * self.slowness

    def waits_out(self, call: Call, now: float) -> bool:
        """Whether a call should wait until a slow stretch of the server is over: started now
        it would miss its target, and it would hold a slot for long.
        """
        if not self.in_slow_stretch or call.target == ANY_WAIT:
            return False
        return now + self.at_pace(call, now) <= call.target < now + self.takes(call, now)

    def is_better_elsewhere(self, call: Call, max_wait: float, now: float) -> bool:
        """Whether the server is so slow now that another one should take the call."""
        if self.slowness < SLOW:
            return False
        if call.target == ANY_WAIT:
            return (self.slowness - 1.0) * self._usual_service_of(call, now) > max_wait
        # Slow or not, an answer within the target is as good as any. The estimate may be
        # off, and going elsewhere has its price, so a close miss is risked.
        return self.takes(call, now) > CLOSE_MISS * (call.target - now)

    def is_too_late(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that starts after `wait` seconds will miss its deadline."""
        return call.remaining(now) < wait + self.takes(call, now)

    def latest_start(self, call: Call, now: float) -> float:
        """The moment until which a request may wait: then it can't meet its deadline any more,
        or it misses its target even on a fast server, and its caller rather hears a refusal.
        """
        needed = min(self.takes(call, now), call.remaining(now) / 2)
        latest = min(call.deadline - needed, call.hold_until)
        if call.hold_until < ANY_WAIT:
            latest = min(latest, call.target - self.at_pace(call, now))
        return latest

    def _usual_service_of(self, call: Call, now: float) -> float:
        """Seconds that a call of this kind takes when the server is as fast as usual."""
        known = self._times.of(call.kind.name)
        if known is not None:
            return known
        if call.target < ANY_WAIT:
            return UNKNOWN_SHARE * max(0.0, call.target - now)
        return self.usual_service(now)


def _is_same_speed(one: float, other: float) -> bool:
    return max(one, other) <= SAME_SPEED * min(one, other)
