"""Which daemons a primary counts on: probes, lost daemons, and the share that it grants."""

import pytest
from wheatslip.quota.reach import (
    FADE_SECONDS,
    PROBES_AT_REST,
    PROBES_IN_DOUBT,
    REMEMBER_SECONDS,
    RISE_SECONDS,
    SAMPLE,
    Contact,
    Reach,
)
from wheatslipd.quota.reachprober import (
    CONNECT_TIMEOUT_SECONDS,
    DOUBT_SECONDS,
    REST_SECONDS,
)

NAMES = tuple(f"d{n}" for n in range(12))
MANY = tuple(f"d{n}" for n in range(22_000))
ROUND_SECONDS = 1.0
REMOVED_SECONDS = 15.0  # of silence, after which a daemon is removed from the list
# Of the rate: what the bound leaves in a window beside late use of tokens, without a burst.
MAX_EXCESS = 0.05


def play(reach, silent=(), refused=(), begin=0.0, seconds=20.0):
    """Probe for some seconds; returns the time and the number of probes."""
    now, probes = begin, 0
    while now < begin + seconds:
        names = reach.next_probes()
        probes += len(names)
        contacts = {
            name: Contact.SILENT
            if name in silent
            else Contact.REFUSED
            if name in refused
            else Contact.ACCEPTED
            for name in names
        }
        reach.on_round(contacts, now)
        now += ROUND_SECONDS
    return now, probes


def reach_of(names=NAMES, own="d0"):
    reach = Reach(own)
    reach.set_members(names, (), 0.0)
    return reach


def test_all_in_touch_is_the_whole_limit_and_few_probes():
    reach = reach_of()
    now, probes = play(reach)
    assert reach.share(now) == 1.0
    assert probes == 20 * PROBES_AT_REST


@pytest.mark.parametrize("count", [1, 4, 8, 11])
def test_the_two_sides_of_a_cut_add_up_to_the_limit(count):
    """Guards against two primaries that grant more than the limit together."""
    ours, theirs = NAMES[:count], NAMES[count:]
    one, other = reach_of(own=ours[0]), reach_of(own=theirs[0])
    now, _ = play(one, silent=theirs)
    play(other, silent=ours)
    assert one.share(now) == pytest.approx(len(ours) / len(NAMES))
    other.set_members(theirs, ours, now)
    later, _ = play(other, silent=ours, begin=now)
    assert one.share(later) + other.share(later) == pytest.approx(1.0)


@pytest.mark.parametrize("lost", [10, 28, 42, 64, 84])
def test_a_cut_zone_is_noticed_before_its_daemons_are_removed(lost):
    """Guards against a primary that grants too much when the other side gets one, too. The
    names of a zone are next to each other in the list.
    """
    names = tuple(f"m{n:02}" for n in range(85))
    silent = frozenset(names[-lost:])
    for own in names[:-lost]:
        reach, now = reach_of(names, own), 0.0
        while now < REMOVED_SECONDS:
            contacts = {
                name: Contact.SILENT if name in silent else Contact.ACCEPTED
                for name in reach.next_probes()
            }
            reach.on_round(contacts, now)
            now += CONNECT_TIMEOUT_SECONDS * (Contact.SILENT in contacts.values())
            now += DOUBT_SECONDS if reach.is_in_doubt else REST_SECONDS
        assert reach.share(now) <= 1 - lost / len(names) + MAX_EXCESS


def test_a_single_silence_costs_nothing():
    """Guards against a limit that falls with each lost packet."""
    reach = reach_of()
    reach.on_round({"d1": Contact.SILENT}, 0.0)
    assert reach.share(0.0) == 1.0
    assert reach.next_probes()[0] == "d1"
    reach.on_round({"d1": Contact.ACCEPTED}, 1.0)
    assert reach.share(1.0) == 1.0


def test_the_share_rises_only_when_the_list_of_the_others_has_come():
    reach = reach_of()
    now, _ = play(reach, silent=NAMES[6:])
    assert reach.share(now) == 0.5
    reach.on_round(dict.fromkeys(NAMES[1:], Contact.ACCEPTED), now)
    assert reach.share(now) == 0.5
    later, _ = play(reach, begin=now, seconds=RISE_SECONDS + 2 * ROUND_SECONDS)
    assert reach.share(later) == 1.0


def test_a_lost_daemon_counts_until_its_machine_is_in_touch():
    """Guards against entries that lapse, and are written again, at many daemons at once."""
    for contact in (Contact.ACCEPTED, Contact.REFUSED):
        reach = reach_of()
        reach.set_members(NAMES[:6], NAMES[6:], 1.0)
        assert reach.has_untried_lost
        assert reach.share(1.0) == 0.5
        assert set(NAMES[6:]) <= set(reach.next_probes())
        reach.on_round(dict.fromkeys(NAMES[6:], contact), 1.1)
        assert reach.share(1.1) == 1.0
        assert not reach.has_untried_lost


def test_a_daemon_that_starts_is_told_once_of_those_that_were_lost_before():
    """Guards against a restarted primary that grants beside the other side of a cut, and
    against one that counts a daemon again that it has found in touch.
    """
    old = reach_of()
    old.set_members(NAMES[:6], NAMES[6:], 1.0)
    restarted = Reach("d1")
    restarted.set_members(NAMES[:6], (), 5.0)
    assert restarted.share(5.0) == 1.0
    assert restarted.learn_lost(old.lost, 5.5) == frozenset(NAMES[6:])
    assert restarted.share(5.5) == 0.5
    assert restarted.has_untried_lost
    restarted.on_round(dict.fromkeys(NAMES[6:], Contact.ACCEPTED), 5.6)
    assert not restarted.learn_lost(old.lost, 6.0)
    assert restarted.share(6.0) == 1.0


def test_a_daemon_is_told_nothing_of_itself_or_of_those_that_it_knows():
    """Guards against a daemon that starts again before the others have listed it, and against
    one that counts those again that it has lost itself and found in touch.
    """
    old = reach_of()
    old.set_members(NAMES[:6], NAMES[6:], 1.0)
    listed = reach_of(own="d1")
    assert not listed.learn_lost(old.lost, 2.0)
    listed.set_members(NAMES[:6], NAMES[6:], 3.0)
    listed.on_round(dict.fromkeys(NAMES[6:], Contact.ACCEPTED), 3.1)
    assert not listed.learn_lost(old.lost, 4.0)
    returned = Reach(NAMES[6])
    assert returned.learn_lost(old.lost, 2.0) == frozenset(NAMES[7:])


def test_a_daemon_that_was_listed_again_may_be_lost_again():
    reach = reach_of()
    for now in (1.0, 3.0):
        reach.set_members(NAMES[:6], NAMES[6:], now)
        assert reach.share(now) == 0.5
        reach.set_members(NAMES, (), now + 1.0)
        assert reach.share(now + 1.0) == 1.0


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_machine_that_crashed_costs_no_more_probes_after_a_while(is_listed):
    """Guards against the probes of doubt for an hour after each crash."""
    reach = reach_of()
    if not is_listed:
        reach.set_members([n for n in NAMES if n != "d3"], ["d3"], 0.0)
    now, _ = play(reach, silent=("d3",), seconds=60.0)
    assert reach.share(now) == pytest.approx(11 / 12)
    _, probes = play(reach, silent=("d3",), begin=now, seconds=60.0)
    assert probes <= 60 * PROBES_AT_REST


def test_a_daemon_whose_process_had_ended_is_not_lost():
    reach = reach_of()
    play(reach, refused=("d3",))
    reach.set_members([n for n in NAMES if n != "d3"], ["d3"], 30.0)
    assert reach.share(30.0) == 1.0


def test_a_lost_daemon_counts_until_it_is_listed_again_or_forgotten():
    reach = reach_of()
    others = [n for n in NAMES if n != "d3"]
    reach.set_members(others, ["d3"], 0.0)
    now, _ = play(reach, silent=("d3",))
    assert reach.share(now) == pytest.approx(11 / 12)
    reach.set_members(NAMES, (), now)
    assert reach.share(now) == 1.0
    reach.set_members(others, ["d3"], now)
    reach.on_round({}, now + REMEMBER_SECONDS)
    assert reach.share(now + REMEMBER_SECONDS) == 1.0


def test_a_daemon_that_never_probes_forgets_lost_ones_too():
    """Guards against a memory that grows at a daemon which is no primary."""
    reach = reach_of()
    names = list(NAMES)
    for number in range(5):
        lost = names.pop()
        reach.set_members(names, [lost], number * REMEMBER_SECONDS)
    assert list(reach._lost) == [lost]


def test_a_daemon_that_others_may_have_forgotten_grants_nothing():
    """Guards against a partition that lasts for longer than the memory of the other side."""
    reach = reach_of()
    now, _ = play(reach, silent=NAMES[6:])
    assert reach.share(now) > 0
    reach.on_round({}, FADE_SECONDS + now)
    assert reach.share(FADE_SECONDS + now) == 0.0
    assert FADE_SECONDS < REMEMBER_SECONDS


def test_a_large_fleet_is_judged_by_a_sample():
    """Guards against state and probes that grow with the number of daemons."""
    reach = reach_of(MANY)
    silent = frozenset(MANY[::2])
    now, probes = play(reach, silent=silent, seconds=60.0)
    assert probes <= 60 * PROBES_IN_DOUBT
    assert len(reach._silences) <= SAMPLE
    assert 0.35 < reach.share(now) < 0.65
