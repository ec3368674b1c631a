"""The candidates of a workspace: rendezvous order, and updates as the list changes."""

from hypothesis import given
from hypothesis import strategies as st
from wheatslip.owners import owner
from wheatslip.quota.candidates import MAX_CACHED_WORKSPACES, Candidates

WORKSPACES = ("alpha", "beta", "gamma")
# Changes of a list of 30: few members at once, so that the cached results are kept.
changes = st.lists(st.sets(st.integers(0, 29), max_size=6), max_size=25)
lists_of_members = st.lists(st.sets(st.sampled_from([f"d{n}" for n in range(12)])), max_size=12)


@given(lists_of_members)
def test_the_incremental_update_equals_the_full_one(lists):
    """Guards against a cached result that misses an added or keeps a removed member."""
    candidates = Candidates(3)
    for members in lists:
        candidates.set_members(members)
        full = Candidates(3)
        full.set_members(sorted(members))
        for workspace in WORKSPACES:
            assert candidates.of(workspace) == full.of(workspace)


@given(changes)
def test_small_changes_of_a_list_equal_the_full_computation(changes):
    """Guards against spare members that hide one which was not compared."""
    members = {f"d{n}" for n in range(30)}
    candidates = Candidates(3)
    candidates.set_members(members)
    for change in changes:
        for workspace in WORKSPACES:
            candidates.of(workspace)  # cached before the change
        members = members ^ {f"d{n}" for n in change}
        candidates.set_members(members)
        full = Candidates(3)
        full.set_members(members)
        assert [candidates.of(w) for w in WORKSPACES] == [full.of(w) for w in WORKSPACES]


def test_a_long_list_is_updated_member_by_member():
    """The lists above are so short that many of their changes drop the cache."""
    members = [f"d{n}" for n in range(200)]
    candidates = Candidates(3)
    for number in range(50):
        changed = members[number:] + [f"e{n}" for n in range(number)]
        candidates.set_members(changed)
        full = Candidates(3)
        full.set_members(changed)
        assert [candidates.of(w) for w in WORKSPACES] == [full.of(w) for w in WORKSPACES]


def test_the_first_candidate_is_the_owner():
    """Guards against two orders for one hash."""
    members = [f"d{n}" for n in range(50)]
    candidates = Candidates(3)
    candidates.set_members(members)
    assert candidates.of("alpha")[0] == owner("alpha", members)


def test_without_the_first_candidate_the_others_move_up():
    members = {f"d{n}" for n in range(50)}
    candidates = Candidates(3)
    candidates.set_members(members)
    first, second, third = candidates.of("alpha")
    candidates.set_members(members - {first})
    assert candidates.of("alpha")[:2] == (second, third)


def test_the_cache_is_bounded():
    candidates = Candidates(3)
    candidates.set_members(["a"])
    for number in range(MAX_CACHED_WORKSPACES + 10):
        assert candidates.of(f"w{number}") == ("a",)
    assert len(candidates._cache) == MAX_CACHED_WORKSPACES
