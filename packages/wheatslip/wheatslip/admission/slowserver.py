"""What a gate does while its backend server is slow, or may be.

The words are defined in `wheatslip.speed`. Each rule answers one question:

| rule | question | asked |
|---|---|---|
| `goes_elsewhere` | should another server rather take the call? | on arrival, and while it \
waits once the server turns slow; if the sender has others to try |
| `waits_out` | should it wait until a slow spell is over? | before each start |
| `gain_of_probing` | what is gained if the server is probed first? | before a start by an old \
report |
| `is_probe_due` | should the server be probed without a request? | while it is slow |

Load pattern: work that starts in a slow spell takes some times as long and holds its slot as
long, so requests that could be answered in time elsewhere or a moment later miss their target,
and those behind them too.
"""

from wheatslip.admission.timing import ServiceTiming
from wheatslip.call import ANY_WAIT, Call

# Part of the time left to its target that a call may take on a slow server. Higher, it stays
# though the estimate may be too short; lower, it goes elsewhere for nothing, which has its
# price.
CLOSE_MISS = 0.9
# What a needless refusal at a server that has become fast again costs, as a part of what an
# answer within its target is worth: a try elsewhere, or a wait until the server is probed.
REFUSAL_LOSS = 0.1


def goes_elsewhere(timing: ServiceTiming, call: Call, max_wait: float, now: float) -> bool:
    """Whether the server is so slow that another one should take a call, whose sender would
    rather try elsewhere than wait for `max_wait` seconds.
    """
    if not timing.is_slow or max_wait == ANY_WAIT:
        return False
    if call.target == ANY_WAIT:
        return (timing.slowness - 1.0) * timing.usual_time(call, now) > max_wait
    # Slow or not, an answer within the target is as good as any.
    return timing.present_time(call, now) > CLOSE_MISS * (call.target - now)


def waits_out(timing: ServiceTiming, call: Call, now: float) -> bool:
    """Whether a call should wait until a slow spell is over: started now it would miss its
    target, after the spell it would not, and until then it would hold a slot for long.
    """
    if not timing.in_slow_spell or call.target == ANY_WAIT:
        return False
    if now + timing.base_time(call, now) > call.target:
        return False
    return call.target < now + timing.present_time(call, now)


def gain_of_probing(timing: ServiceTiming, call: Call, now: float) -> float:
    """What is saved on average if the server is probed before a call starts that could start
    now, as a part of what an answer within its target is worth.

    Only a call gains that meets its target if the server is fast, and misses it if slow: a
    probe may spare it a slow start, or a refusal by an old report.
    """
    left = min(call.target, call.deadline) - now
    base_time = timing.base_time(call, now)
    if base_time > left or base_time * timing.speed.slow_factor <= left:
        return 0.0
    slow = timing.speed.slow_chance(now)
    return (1.0 - slow) * REFUSAL_LOSS if timing.in_slow_spell else slow


def is_probe_due(timing: ServiceTiming, reported_at: float, now: float) -> bool:
    """Whether a slow spell is likely to be over since the last report, so that a probe may tell
    the entries that the server is fast again.
    """
    return now - reported_at >= timing.speed.mean_slow_spell
