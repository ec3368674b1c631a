"""Callers that are refused and return at the time that they were told."""

from random import Random

import pytest

from test.quota_network import Limit, Network

NAMES = [f"d{n}" for n in range(20)]
LIMIT = Limit(1, 20.0, 10.0)
CALLERS = 150
START = 20.0  # seconds
MAX_DURATION = 1.5  # times that of callers who come as fast as tokens do
MAX_REFUSALS = 2.5  # by caller; an entry does not know how many the others refuse


def run_returning_callers(entries):
    """All callers come within 0.2 s. Returns the network and when each was served."""
    network = Network()
    random = Random(5)
    for name in NAMES:
        network.start(name, NAMES, {"alpha": LIMIT})
    served = []
    told = []

    def arrive():
        network.daemons[random.choice(entries)].request("alpha")

    def on_refused(workspace, seconds):
        told.append(seconds)
        network.at(network.now + seconds, None, arrive)

    network.on_refused = on_refused
    network.check_use = lambda workspace, used: served.append(network.now - START)
    for _ in range(CALLERS):
        network.at(START + random.uniform(0, 0.2), None, arrive)
    network.run_until(START + 60.0)
    return served, told


@pytest.mark.parametrize("entries", [NAMES, NAMES[:1], NAMES[:5]])
def test_returning_callers_are_served_without_many_more_refusals(entries):
    """Guards against times that are too short, or the same for all, or far too long."""
    served, told = run_returning_callers(entries)
    ideal = (CALLERS - LIMIT.burst) / LIMIT.rate
    assert len(served) == CALLERS
    assert max(served) < MAX_DURATION * ideal
    assert len(told) < MAX_REFUSALS * CALLERS
