"""Whom a gate serves above its capacity, with ranks and a hot workspace: what callers need.

The load is 130 % of the capacity; `test.replay_one_gate` describes it.
"""

from functools import cache

import pytest

from test.replay_one_gate import HOT_FACTOR, KINDS, SERVER_CALL, WORKSPACES, replay_seeds

FIRST, SECOND, THIRD = KINDS
LARGEST_WORKSPACE = WORKSPACES[0]  # sends 20 in 100 requests
LARGE_WORKSPACE = WORKSPACES[2]  # sends 7 in 100 requests
MIDDLE_WORKSPACE = WORKSPACES[10]  # sends 2 in 100 requests
LIMIT_FACTOR = 1.6  # limit of a workspace / its usual rate
HOT_WORKSPACES = ("", LARGE_WORKSPACE, MIDDLE_WORKSPACE)


@cache
def ranked_replay(hot="", hot_factor=HOT_FACTOR):
    return replay_seeds(range(1, 11), ranked=True, hot=hot, hot_factor=hot_factor)


@pytest.mark.parametrize("hot", HOT_WORKSPACES)
def test_no_kind_is_served_less_often_than_a_less_urgent_one(hot):
    served = [ranked_replay(hot).by_kind.ratio(kind.name) for kind in KINDS]
    for urgent, less_urgent in ((0, 1), (1, 2), (0, 2)):
        assert served[urgent] >= served[less_urgent] - 0.05, served


@pytest.mark.parametrize("hot", HOT_WORKSPACES)
def test_calls_by_backend_servers_are_served(hot):
    """The work of the request that made them is already spent."""
    assert ranked_replay(hot).by_kind.ratio(SERVER_CALL.name) >= 0.95


@pytest.mark.parametrize("hot", HOT_WORKSPACES)
def test_no_workspace_and_no_kind_is_starved(hot):
    replay = ranked_replay(hot)
    mean = replay.by_workspace.ratio()
    for counts, names in (
        (replay.by_workspace, WORKSPACES),
        (replay.by_kind, [kind.name for kind in KINDS]),
    ):
        lowest = min(names, key=counts.ratio)
        assert counts.ratio(lowest) >= 0.25 * mean, lowest


def test_a_hot_workspace_hardly_takes_from_those_with_their_usual_demand():
    usual = ranked_replay().usual(MIDDLE_WORKSPACE)
    beside_hot = ranked_replay(MIDDLE_WORKSPACE).usual(MIDDLE_WORKSPACE)
    assert beside_hot >= usual - 0.04


@pytest.mark.parametrize("hot", [LARGEST_WORKSPACE, LARGE_WORKSPACE])
def test_a_large_hot_workspace_that_its_limit_holds_hardly_takes_from_others(hot):
    usual = ranked_replay().usual(hot)
    assert ranked_replay(hot, LIMIT_FACTOR).usual(hot) >= usual - 0.04


def test_a_large_hot_workspace_takes_from_the_last_rank_only():
    """Its requests of the first ranks go before the last rank of all workspaces, so that no
    kind is served less often than a less urgent one. Within each rank it gets its share only.
    """
    for kind in (FIRST, SECOND):
        usual = ranked_replay().usual(LARGE_WORKSPACE, kind)
        beside_hot = ranked_replay(LARGE_WORKSPACE).usual(LARGE_WORKSPACE, kind)
        assert beside_hot >= usual - 0.05, kind
    beside_hot = ranked_replay(LARGE_WORKSPACE).usual(LARGE_WORKSPACE, THIRD)
    assert beside_hot >= 0.25 * ranked_replay(LARGE_WORKSPACE).by_workspace.ratio()


def test_waits_of_refused_requests_are_short_compared_with_their_targets():
    """A request of the last rank that will miss its target is refused before its latest start,
    which is 2.06 s after its arrival, so that its caller can retry early.
    """
    waits = [wait for wait in ranked_replay().refused_after_seconds if wait > 0]
    assert sum(waits) / len(waits) <= 1.3
