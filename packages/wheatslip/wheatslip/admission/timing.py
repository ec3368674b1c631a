"""Service times at one backend server, and limits on the wait of a request there.

Timeline of a request at a gate, in seconds on the local monotonic clock:

    arrival              latest start                        target              deadline
    |                         |                                 |                    |
    |<------ may wait ------->|<------- base call time -------->|                    |
                              |<- current call time, at most half of the time left ->|

The latest start is the earliest of:

- the target minus the base call time: a later start misses the target even outside slow periods
- the deadline minus the current call time: a later start misses the deadline at the current
  speed
- `hold_until`, which the sender sets

A limit that the request does not set does not apply.

| rule | question | evaluated |
|---|---|---|
| `is_too_late` | will the call miss its deadline after this wait? | on arrival |
| `misses_target` | will it miss its target after this wait, even at base speed? | on arrival |
| `latest_start` | until when may it wait? | when its wait begins |
| `may_start_late` | may it start although it is late? | at the latest start, or on arrival if \
it may not be held |

The sender may also set `max_wait`, beyond which it tries another server; `Admission.arrive`
compares it with the expected wait.
"""

from dataclasses import dataclass, field

from wheatslip.admission.ticket import Ticket
from wheatslip.call import UNLIMITED, Call
from wheatslip.limit import ConcurrencyLimit
from wheatslip.servicetimes import ServiceTimes
from wheatslip.speed import SLOW_THRESHOLD, USUAL_SLOWNESS, SpeedModel

# With a lower ratio few service times are used, with a higher one the usual time includes some
# from slow periods.
SAME_SLOWNESS_RATIO = 1.3  # largest ratio of two values that count as the same speed
# A lower share lets such a request wait too long, a higher one refuses it needlessly.
UNSEEN_KIND_SHARE = 0.3  # of the time to the target: service time of a kind without samples
# Largest service time of a short request, as a part of the server's mean.
SHORT_REQUEST_SHARE = 0.5
STALL_AGE_FACTOR = 2  # mean age of running requests, in mean service times; normally up to 1

# Largest parts of the remaining time that a request may take after its latest start. Larger
# ones take slots from requests in time, smaller ones refuse requests whose late response still
# has value.
LATE_START_TARGET_SHARE = 1.5  # of the time to the target
LATE_START_DEADLINE_SHARE = 0.4  # of the time to the deadline
# If half of the slots are free: the request delays no others. Below 1 for estimate errors. The
# refusal of a nested request would fail the request that made it.
LATE_START_DEADLINE_SHARE_IDLE = 0.8


@dataclass(slots=True)
class ServiceTiming:
    """Service time estimates for one backend server. Times in seconds."""

    limit: ConcurrencyLimit
    slowness: float = USUAL_SLOWNESS
    # False until a server that reports its slowness has sent the first report.
    is_speed_known: bool = True
    speed: SpeedModel = field(default_factory=SpeedModel)
    _times: ServiceTimes = field(default_factory=ServiceTimes)
    _running: int = 0
    _start_time_sum: float = 0.0

    def learn_speed(self, slowness: float, now: float) -> None:
        """Handles a slowness report of the backend server."""
        self.slowness = slowness
        self.is_speed_known = True
        self.speed.on_report(slowness, now)

    def reset_speed(self) -> None:
        """Discards the speed after the backend server was replaced."""
        self.is_speed_known = False
        self.speed.reset()

    def on_start(self, ticket: Ticket, now: float) -> None:
        ticket.started = now
        ticket.slowness = self.slowness if self.is_speed_known else None
        self._running += 1
        self._start_time_sum += now

    def on_end(self, started: float) -> None:
        self._running -= 1
        self._start_time_sum -= started

    def observe(self, ticket: Ticket, service_time: float, *, saturated: bool) -> bool:
        """Records a service time in seconds; returns False if it can't be used.

        The slowness at the start of a request determines its service time. The service time is
        not used if that slowness is unknown or has changed since.
        """
        if ticket.slowness is None or not _is_same_slowness(ticket.slowness, self.slowness):
            return False
        usual_time = service_time / max(1.0, ticket.slowness)
        self.limit.observe(usual_time, saturated=saturated)
        self._times.observe(ticket.call.kind.name, usual_time)
        return True

    @property
    def is_slow(self) -> bool:
        """Whether the server is slow now, in a slow period or not."""
        return self.slowness >= SLOW_THRESHOLD

    @property
    def in_slow_period(self) -> bool:
        """Whether the server is slow compared to its base slowness, i.e. only temporarily."""
        return self.slowness >= SLOW_THRESHOLD * self.speed.base_slowness

    def current_service_time(self, now: float) -> float:
        """Mean service time in seconds at the current speed."""
        return self.usual_service_time(now) * self.slowness

    def usual_service_time(self, now: float) -> float:
        """Mean service time in seconds at the usual speed.

        If the running requests are much older than that, their mean age is returned, so that a
        server that stops responding is detected before its next response.
        """
        estimate = self.limit.service_time
        if not self._running:
            return estimate
        mean_age = now - self._start_time_sum / self._running
        return (
            mean_age
            if mean_age > STALL_AGE_FACTOR * estimate * max(1.0, self.slowness)
            else estimate
        )

    def usual_call_time(self, call: Call, now: float) -> float:
        """Estimated service time of a call in seconds at the usual speed."""
        mean_time = self._times.mean(call.kind.name)
        if mean_time is not None:
            return mean_time
        if call.target < UNLIMITED:
            return UNSEEN_KIND_SHARE * max(0.0, call.target - now)
        return self.usual_service_time(now)

    def is_short(self, call: Call) -> bool:
        """Whether calls of this kind take much less time than the server's mean request."""
        mean_time = self._times.mean(call.kind.name)
        if mean_time is None:
            return False
        return mean_time <= SHORT_REQUEST_SHARE * self.limit.service_time

    def base_call_time(self, call: Call, now: float) -> float:
        """Estimated service time of a call in seconds outside slow periods."""
        return self.usual_call_time(call, now) * self.speed.base_slowness

    def current_call_time(self, call: Call, now: float) -> float:
        """Estimated service time of a call in seconds if it starts now."""
        return self.usual_call_time(call, now) * self.slowness

    def is_too_late(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that starts after `wait` seconds will miss its deadline."""
        return call.remaining(now) < wait + self.current_call_time(call, now)

    def misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether a call that starts after `wait` seconds will miss its target even outside a
        slow period, so that it should be refused at once instead of after a wait.

        Always False for a call with unlimited `hold_until`, which prefers a late response over
        a refusal.
        """
        if call.hold_until == UNLIMITED or call.target == UNLIMITED:
            return False
        return now + wait + self.base_call_time(call, now) > call.target

    def latest_start(self, call: Call, now: float) -> float:
        """Time until which a call may wait; see the timeline above."""
        # At most half of the remaining time is reserved, however long the estimate is.
        reserved_seconds = min(self.current_call_time(call, now), call.remaining(now) / 2)
        start_limit = min(call.deadline - reserved_seconds, call.hold_until)
        if call.hold_until < UNLIMITED:
            start_limit = min(start_limit, call.target - self.base_call_time(call, now))
        return start_limit

    def may_start_late(self, call: Call, now: float, *, is_idle: bool) -> bool:
        """Whether a call may still start at or after its latest start. `is_idle` tells whether
        at least half of the slots are free.

        The response may miss the target by a part of the time to the target. A caller whose
        deadline is much later than the target prefers a late response over none, so a part of
        the time to the deadline is accepted too.
        """
        max_call_time = LATE_START_TARGET_SHARE * (call.target - now)
        if call.target < UNLIMITED:
            share = LATE_START_DEADLINE_SHARE_IDLE if is_idle else LATE_START_DEADLINE_SHARE
            max_call_time = max(max_call_time, share * call.remaining(now))
        return self.current_call_time(call, now) <= max_call_time


def _is_same_slowness(first: float, second: float) -> bool:
    return max(first, second) <= SAME_SLOWNESS_RATIO * min(first, second)
