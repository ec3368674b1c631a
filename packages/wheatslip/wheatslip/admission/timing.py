"""How long requests take at one backend server, and how long one may wait there.

The time line of a request at a gate; all times are seconds on the local monotonic clock:

    arrival              latest start                        target              deadline
    |                         |                                 |                    |
    |<------ may wait ------->|<--------- base time ----------->|                    |
                              |<-- present time, at most half of what is left ------>|

The latest start is the earliest of three moments:

- the target minus the base time: a later start misses the target even outside of slow spells;
- the deadline minus the present time: a later start misses the deadline at the present speed;
- `hold_until`, which the sender sets.

A request without a target or a hold has only the bounds that it brings.

| rule | question | asked |
|---|---|---|
| `is_too_late` | will it miss its deadline after this wait? | on arrival |
| `misses_target` | will it miss its target after this wait, whatever the speed? | on arrival |
| `latest_start` | until when may it wait? | when its wait begins |
| `may_start_late` | may it start all the same? | at the latest start, or on arrival if it may \
not be held |

Besides, the sender may give a longest wait (`max_wait`) beyond which it tries another server:
`Admission.arrive` compares it with the expected wait.
"""

from dataclasses import dataclass, field

from wheatslip.admission.ticket import Ticket
from wheatslip.call import ANY_WAIT, Call
from wheatslip.limit import ConcurrencyLimit
from wheatslip.servicetimes import ServiceTimes
from wheatslip.speed import SLOW, USUAL, SpeedModel

# Factor between two reports of the slowness that count as the same. Smaller, few answers are
# learned from; larger, the usual time takes in what a slow spell did.
SAME_SPEED = 1.3
# Part of the time to its target that a kind of request takes which was not seen yet. Smaller,
# it is held too long; larger, it is refused where it had time.
UNKNOWN_SHARE = 0.3
# A mean age of what runs beyond so many service times speaks of a slow-down: of requests caught
# at a random moment, the mean age equals the mean service time only in the worst case.
OLD_AGE = 2

# Parts of the time left that a request may take which starts after its latest start. More takes
# slots from requests in time; less refuses requests whose late answer is still worth something.
LATE_TARGET_SHARE = 1.5  # of the time to the target
LATE_DEADLINE_SHARE = 0.4  # of the time to the deadline
# The same with half of the slots free: it keeps no other waiting, so it starts if it meets its
# deadline with room for the error of the estimate. A request that another one made would fail
# that one if it was refused.
LATE_DEADLINE_SHARE_IDLE = 0.8


@dataclass(slots=True)
class ServiceTiming:
    """What is known of one backend server's service times. Times in seconds."""

    limit: ConcurrencyLimit
    slowness: float = USUAL
    is_speed_known: bool = True  # whether `slowness` was reported, where servers report it
    speed: SpeedModel = field(default_factory=SpeedModel)
    _times: ServiceTimes = field(default_factory=ServiceTimes)
    _running: int = 0
    _started_sum: float = 0.0

    def learn_speed(self, slowness: float, now: float) -> None:
        """The backend server reports its slowness."""
        self.slowness = slowness
        self.is_speed_known = True
        self.speed.reported(slowness, now)

    def forget_speed(self) -> None:
        """Another backend server has come: its speed is not known until it reports."""
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
        """Learn from a request that took `took` seconds; whether there was something to learn.

        How long work takes is settled when it starts. A request that started at an unknown
        speed, or at one that was reported late, says nothing of the usual speed.
        """
        if ticket.slowness is None or not _is_same_speed(ticket.slowness, self.slowness):
            return False
        usual = took / max(1.0, ticket.slowness)
        self.limit.observe(usual, saturated=saturated)
        self._times.observe(ticket.call.kind.name, usual)
        return True

    @property
    def is_slow(self) -> bool:
        """Whether the server is slow now, in a slow spell or not."""
        return self.slowness >= SLOW

    @property
    def in_slow_spell(self) -> bool:
        """Whether the server is slower than usual for it, so that it will be faster soon."""
        return self.slowness >= SLOW * self.speed.base_slowness

    def service_estimate(self, now: float) -> float:
        """Seconds one request takes now."""
        return self.usual_service(now) * self.slowness

    def usual_service(self, now: float) -> float:
        """Seconds one request takes when the server is as fast as usual.

        The age of what runs counts too, so that a server which stopped answering is noticed
        before its first slow answer comes.
        """
        estimate = self.limit.service
        if not self._running:
            return estimate
        mean_age = now - self._started_sum / self._running
        return mean_age if mean_age > OLD_AGE * estimate * max(1.0, self.slowness) else estimate

    def usual_time(self, call: Call, now: float) -> float:
        """Seconds that a call takes when the server is as fast as usual."""
        known = self._times.of(call.kind.name)
        if known is not None:
            return known
        if call.target < ANY_WAIT:
            return UNKNOWN_SHARE * max(0.0, call.target - now)
        return self.usual_service(now)

    def base_time(self, call: Call, now: float) -> float:
        """Seconds that a call takes outside the server's slow spells."""
        return self.usual_time(call, now) * self.speed.base_slowness

    def present_time(self, call: Call, now: float) -> float:
        """Seconds that a call takes if it starts now."""
        return self.usual_time(call, now) * self.slowness

    def is_too_late(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that starts after `wait` seconds will miss its deadline."""
        return call.remaining(now) < wait + self.present_time(call, now)

    def misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that starts after `wait` seconds will miss its target even if the
        server is in no slow spell then. Its caller is refused at once instead of after a wait.

        A call without a bound on its hold would rather be answered late than refused.
        """
        if call.hold_until == ANY_WAIT or call.target == ANY_WAIT:
            return False
        return now + wait + self.base_time(call, now) > call.target

    def latest_start(self, call: Call, now: float) -> float:
        """The moment until which a call may wait; see the time line."""
        # An estimate beyond half of what is left doesn't shorten the wait any further.
        needed = min(self.present_time(call, now), call.remaining(now) / 2)
        latest = min(call.deadline - needed, call.hold_until)
        if call.hold_until < ANY_WAIT:
            latest = min(latest, call.target - self.base_time(call, now))
        return latest

    def may_start_late(self, call: Call, now: float, *, is_idle: bool) -> bool:
        """Whether a call that has waited until its latest start may start now all the same;
        `is_idle`: half of the slots are free.

        Its answer may be late by some part of the time to the target. A caller that waits much
        longer than the target would rather have a late answer than none, so part of the time
        to the deadline counts too.
        """
        bound = LATE_TARGET_SHARE * (call.target - now)
        if call.target < ANY_WAIT:
            share = LATE_DEADLINE_SHARE_IDLE if is_idle else LATE_DEADLINE_SHARE
            bound = max(bound, share * call.remaining(now))
        return self.present_time(call, now) <= bound


def _is_same_speed(one: float, other: float) -> bool:
    return max(one, other) <= SAME_SPEED * min(one, other)
