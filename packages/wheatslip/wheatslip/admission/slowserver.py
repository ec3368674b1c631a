"""Rules for a gate whose backend server is or may be slow.

`wheatslip.speed` defines the terms. Each rule answers one question:

| rule | question | evaluated |
|---|---|---|
| `should_try_elsewhere` | should another server take the call? | on arrival, and for waiting \
calls when the server becomes slow, if the sender can try others |
| `should_wait_out_slow_period` | should the call wait until a slow period is over? | before \
each start |
| `gain_of_probing` | what is the benefit of probing the server first? | before a start, if \
the last report is old |
| `is_probe_due` | should the server be probed without a request? | while it is slow |

A request that starts in a slow period takes several times as long and occupies its slot for
that time. Without these rules requests that could be answered in time by another server, or a
moment later, would miss their target and delay those behind them.
"""

from wheatslip.admission.timing import ServiceTiming
from wheatslip.call import UNLIMITED, Call

# Of the time left to it; below 1 for the error of the estimate. A lower share needlessly sends
# calls to other servers, which costs a try.
MAX_SHARE_OF_TARGET = 0.9
# Of a refusal by a server that is fast again, which costs a try at another server or a wait for
# a probe; the value of a response within its target is 1.
NEEDLESS_REFUSAL_COST = 0.1


def should_try_elsewhere(
    timing: ServiceTiming, call: Call, max_wait: float, now: float
) -> bool:
    """Whether the server is so slow that another one should take the call. `max_wait` is the
    longest wait in seconds for which the sender prefers this server over another one.
    """
    if not timing.is_slow or max_wait == UNLIMITED:
        return False
    if call.target == UNLIMITED:
        return (timing.slowness - 1.0) * timing.usual_call_time(call, now) > max_wait
    # A call that meets its target stays, even if another server would be faster.
    return timing.current_call_time(call, now) > MAX_SHARE_OF_TARGET * (call.target - now)


def should_wait_out_slow_period(timing: ServiceTiming, call: Call, now: float) -> bool:
    """Whether a call should wait until a slow period is over. This is so if it would miss its
    target (and occupy a slot for long) when started now, but not after the slow period.
    """
    if not timing.in_slow_period or call.target == UNLIMITED:
        return False
    if now + timing.base_call_time(call, now) > call.target:
        return False
    return call.target < now + timing.current_call_time(call, now)


def gain_of_probing(timing: ServiceTiming, call: Call, now: float) -> float:
    """Returns the expected benefit of probing the server before a call starts that could start
    now, as a fraction of the value of a response within its target.

    It is above 0 only for a call that meets its target on a fast server and misses it on a slow
    one: the probe may prevent a slow start, or a refusal that is based on an old report.
    """
    time_left = min(call.target, call.deadline) - now
    base_call_time = timing.base_call_time(call, now)
    if base_call_time > time_left or base_call_time * timing.speed.slow_factor <= time_left:
        return 0.0
    probability = timing.speed.slow_probability(now)
    return (1.0 - probability) * NEEDLESS_REFUSAL_COST if timing.in_slow_period else probability


def is_probe_due(timing: ServiceTiming, reported_at: float, now: float) -> bool:
    """Whether a slow period has probably ended since the last report, so that a probe can
    inform the sending daemons that the server is fast again.
    """
    return now - reported_at >= timing.speed.mean_slow_period_seconds
