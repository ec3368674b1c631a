"""Which daemon is active for a limit, and how another one takes over from it."""

from math import inf

import pytest
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.handover import (
    LIST_LEASE_SECONDS,
    RETRY_SECONDS,
    SETTLE_SECONDS,
    UNCERTAIN_SECONDS,
    YIELD_SECONDS,
    Handover,
)
from wheatslip.quota.messages import TakeoverAnswer, TakeoverRequest

NAMES = tuple(f"d{n}" for n in range(9))
ORDER = Candidates(len(NAMES))
ORDER.set_members(NAMES)
FIRST, SECOND, THIRD, FOURTH, *REST = ORDER.of("alpha")
NOBODY = TakeoverAnswer(0.0)
LONG_AGO = -1000.0


class Daemon:
    """The handover of one daemon, with the list that it has."""

    def __init__(self, name, members, now=LONG_AGO, lease=inf):
        self.candidates = Candidates(5)
        self.handover = Handover(name, self.candidates, lease)
        self.set_members(members, now)

    def set_members(self, members, now, left=()):
        self.candidates.set_members(members)
        self.handover.set_members(frozenset(members), left, now)
        self.handover.confirm(now, now)

    def take_over(self, now, *answers):
        """Makes a takeover; returns whom it asked. None stands for a silent daemon."""
        takeover = self.handover.begin("alpha", now)
        asked = []
        for answer in answers:
            asked.append(takeover.next_owner)
            if answer is None:
                takeover.on_silence()
            else:
                takeover.on_answer(answer)
        assert takeover.next_owner is None
        self.tokens = self.handover.finish(takeover, now)
        return asked

    def is_active(self, now):
        return self.handover.is_active("alpha", now)

    def answer(self, sender, now, **options):
        request = TakeoverRequest(sender, "alpha", "", **options)
        return self.handover.answer(request, now)


def active(name, members):
    daemon = Daemon(name, members)
    daemon.take_over(0.0, NOBODY, NOBODY)
    assert daemon.is_active(0.0)
    return daemon


def without(*names):
    return [name for name in NAMES if name not in names]


def test_a_daemon_that_starts_is_active_once_two_candidates_know_of_nobody():
    """Guards against a restarted daemon that grants beside an active one."""
    daemon = Daemon(FIRST, NAMES)
    assert not daemon.is_active(0.0)
    assert daemon.take_over(0.0, NOBODY, NOBODY) == [SECOND, THIRD]
    assert daemon.is_active(0.0) and daemon.tokens is None


def test_a_daemon_that_has_no_candidate_after_it_is_active_at_once():
    daemon = Daemon(FIRST, [FIRST])
    assert daemon.take_over(0.0) == []
    assert daemon.is_active(0.0)


def test_only_the_first_candidate_takes_over():
    assert Daemon(SECOND, NAMES).handover.begin("alpha", 0.0) is None
    assert Daemon(SECOND, without(FIRST)).handover.begin("alpha", 0.0) is not None


def test_candidates_that_have_just_started_do_not_count():
    """Guards against three daemons that join together, of which none knows the active one."""
    daemon = Daemon(FIRST, NAMES)
    new = TakeoverAnswer(0.0, is_new=True)
    yielded = TakeoverAnswer(0.0, is_active=True, tokens=7.0)
    assert daemon.take_over(0.0, new, new, yielded) == [SECOND, THIRD, FOURTH]
    assert daemon.is_active(0.0) and daemon.tokens == 7.0
    assert Daemon(SECOND, NAMES, now=0.0).answer(FIRST, 1.0).is_new


def test_if_all_daemons_have_just_started_one_takeover_is_enough():
    """Guards against a limit that nobody grants after all daemons were killed."""
    daemon = Daemon(FIRST, NAMES, now=0.0)
    new = TakeoverAnswer(0.0, is_new=True)
    daemon.take_over(0.0, new, new, new, new)
    assert daemon.is_active(0.0)


def test_an_active_daemon_yields_once_all_entries_know_the_new_first_one():
    """Guards against entries with the former list that ask a daemon that has yielded."""
    daemon = active(SECOND, without(FIRST))
    assert daemon.answer(FIRST, 10.0) == TakeoverAnswer(SETTLE_SECONDS, is_active=True)
    daemon.set_members(NAMES, 10.0)
    answer = daemon.answer(FIRST, 11.0)
    assert answer.is_active and answer.seconds == pytest.approx(SETTLE_SECONDS - 1.0)
    assert daemon.is_active(12.9)
    assert daemon.answer(FIRST, 13.0) == TakeoverAnswer(0.0, is_active=True)
    assert not daemon.is_active(13.0)


def test_an_active_daemon_does_not_yield_to_one_that_comes_after_it():
    """Guards against a takeover by a daemon whose list lacks the active one."""
    daemon = active(FIRST, NAMES)
    answer = daemon.answer(SECOND, 100.0)
    assert answer.is_active and answer.seconds > 0
    assert daemon.is_active(100.0)


def test_while_another_daemon_is_active_asks_are_declined():
    """Guards against two daemons that grant, and against a service at the margin meanwhile."""
    daemon = Daemon(FIRST, NAMES)
    daemon.take_over(0.0, TakeoverAnswer(0.4, is_active=True))
    assert daemon.handover.is_declining("alpha", 0.0) and not daemon.is_active(0.0)
    assert daemon.handover.begin("alpha", 0.3) is None
    daemon.take_over(0.4, TakeoverAnswer(0.0, is_active=True, tokens=3.0))
    assert daemon.is_active(0.4) and not daemon.handover.is_declining("alpha", 0.4)


def test_an_active_daemon_that_is_not_the_first_stops_by_itself():
    """Guards against a former primary that grants for ever after its successor died."""
    daemon = active(SECOND, without(FIRST))
    daemon.set_members(NAMES, 10.0)
    assert daemon.is_active(10.0 + YIELD_SECONDS - 0.1)
    assert not daemon.is_active(10.0 + YIELD_SECONDS)
    daemon.set_members(without(FIRST), 30.0)
    assert not daemon.is_active(30.0)


def test_an_active_daemon_stops_when_it_sees_itself_listed_as_leaving():
    daemon = active(FIRST, NAMES)
    daemon.set_members(without(FIRST), 10.0, left=[FIRST])
    assert not daemon.is_active(10.0)


def test_an_active_daemon_stops_when_its_list_is_no_longer_confirmed():
    """Guards against two active daemons after one was cut off from the store."""
    daemon = Daemon(FIRST, NAMES, now=0.0, lease=LIST_LEASE_SECONDS)
    daemon.take_over(0.0, NOBODY, NOBODY)
    daemon.handover.confirm(5.0, 9.0)
    assert daemon.is_active(34.9)
    assert not daemon.is_active(35.0)
    daemon.handover.confirm(40.0, 40.0)
    assert not daemon.is_active(40.0)
    daemon.take_over(40.0, NOBODY, NOBODY)
    assert daemon.is_active(40.0)


def test_a_daemon_whose_list_is_not_confirmed_does_not_take_over():
    daemon = Daemon(FIRST, NAMES, now=0.0, lease=LIST_LEASE_SECONDS)
    assert daemon.handover.begin("alpha", LIST_LEASE_SECONDS) is None


@pytest.mark.parametrize("answer", [None, TakeoverAnswer(30.0)])
def test_with_a_doubt_a_daemon_waits_until_nobody_else_can_be_active(answer):
    """Guards against a takeover from a silent daemon, or from a removed one, that grants on."""
    daemon = Daemon(FIRST, NAMES, now=0.0)
    daemon.take_over(0.0, answer, NOBODY)
    assert not daemon.is_active(0.0) and not daemon.handover.is_declining("alpha", 0.0)
    assert daemon.handover.begin("alpha", 0.5 * RETRY_SECONDS) is None
    daemon.take_over(UNCERTAIN_SECONDS - 0.1, answer, NOBODY)
    assert not daemon.is_active(UNCERTAIN_SECONDS - 0.1)
    daemon.take_over(UNCERTAIN_SECONDS + 1.0, answer, NOBODY)
    assert daemon.is_active(UNCERTAIN_SECONDS + 1.0)


def test_a_removed_primary_may_be_active_for_a_time():
    """Guards against a takeover from a primary that was cut off and grants on."""
    second, third = Daemon(SECOND, NAMES), Daemon(THIRD, NAMES)
    for daemon in (second, third):
        daemon.set_members(without(FIRST), 0.0)
    assert third.answer(SECOND, 10.0).seconds == UNCERTAIN_SECONDS - 10.0
    second.take_over(10.0, NOBODY, NOBODY)
    assert not second.is_active(10.0)
    second.take_over(UNCERTAIN_SECONDS, NOBODY, NOBODY)
    assert second.is_active(UNCERTAIN_SECONDS)


def test_a_removed_primary_whose_process_had_ended_is_replaced_at_once():
    """Guards against a limit at the margin for 40 s after each killed daemon."""
    second, third = Daemon(SECOND, NAMES), Daemon(THIRD, NAMES)
    second.handover.note_failover("alpha", -1.0)
    for daemon in (second, third):
        daemon.set_members(without(FIRST), 0.0)
    takeover = second.handover.begin("alpha", 0.0)
    request = second.handover.request_to(takeover, THIRD)
    assert third.handover.answer(request, 0.0).seconds == 0
    takeover.on_answer(NOBODY)
    takeover.on_answer(NOBODY)
    second.handover.finish(takeover, 0.0)
    assert second.is_active(0.0)


def test_a_failover_by_another_list_tells_nothing():
    """Guards against a daemon that counts as ended because another one has refused."""
    daemon = Daemon(THIRD, without(FIRST))
    daemon.set_members(NAMES, -2.0)
    daemon.handover.note_failover("alpha", -1.0)
    daemon.set_members(without(FIRST, SECOND), 0.0)
    daemon.take_over(0.0, NOBODY, NOBODY)
    assert not daemon.is_active(0.0)


def test_a_process_that_had_ended_long_before_its_removal_may_have_restarted():
    """Guards against a takeover from a daemon that restarted while this one did not run."""
    daemon = Daemon(SECOND, NAMES)
    daemon.handover.note_ended(FIRST, -SETTLE_SECONDS)
    daemon.set_members(without(FIRST), 0.0)
    daemon.take_over(0.0, NOBODY, NOBODY)
    assert not daemon.is_active(0.0)


def test_a_process_that_takes_over_after_it_had_ended_runs_again():
    """Guards against an old failover that hides a restarted daemon."""
    daemon = Daemon(SECOND, NAMES)
    daemon.handover.note_ended(FIRST, 0.0)
    daemon.answer(FIRST, 5.0)
    daemon.handover.note_ended(FIRST, 5.0 + SETTLE_SECONDS - 0.1)  # by an entry's old list
    daemon.set_members(without(FIRST), 10.0)
    daemon.take_over(10.0, NOBODY, NOBODY)
    assert not daemon.is_active(10.0)


def test_a_daemon_that_left_is_replaced_at_once():
    """Guards against a limit at the margin while daemons are stopped one after the other."""
    daemon = Daemon(SECOND, NAMES)
    daemon.set_members(without(FIRST), 0.0, left=[FIRST])
    yielded = TakeoverAnswer(0.0, is_active=True, tokens=5.0)
    assert daemon.take_over(0.0, yielded) == [FIRST]
    assert daemon.is_active(0.0)


def test_a_daemon_that_leaves_yields_before_its_own_list_shows_it():
    """Guards against two active daemons while their lists differ."""
    daemon = active(FIRST, NAMES)
    assert daemon.answer(THIRD, 1.0, is_leaving=True).seconds > 0
    assert daemon.answer(SECOND, 1.0, is_leaving=True) == TakeoverAnswer(0.0, is_active=True)
    assert not daemon.is_active(1.0)


def test_a_removed_daemon_that_was_no_primary_is_not_waited_for():
    """Guards against a limit at the margin after the loss of a daemon that never granted it."""
    daemon = Daemon(SECOND, NAMES)
    daemon.set_members(without(THIRD), 0.0)
    daemon.set_members(without(FIRST, THIRD), 1.0, left=[FIRST])
    daemon.take_over(1.0, NOBODY, NOBODY, NOBODY)
    assert daemon.is_active(1.0)


def test_a_daemon_takes_over_from_one_to_which_it_yielded_before():
    """Guards against a limit that nobody grants for 40 s after a daemon left and joined."""
    daemon = active(FIRST, NAMES)
    daemon.answer(SECOND, 1.0, is_leaving=True)
    daemon.set_members(without(FIRST), 1.5, left=[FIRST])
    daemon.set_members(NAMES, 10.0)
    daemon.take_over(14.0, TakeoverAnswer(0.0, is_active=True, tokens=5.0))
    assert daemon.is_active(14.0) and daemon.tokens == 5.0


@pytest.mark.parametrize("answer", [NOBODY, TakeoverAnswer(0.0, is_active=True)])
def test_a_takeover_that_was_frozen_does_not_count(answer):
    """Guards against a daemon that becomes active by answers that are no longer true."""
    daemon = Daemon(FIRST, [FIRST, SECOND])
    takeover = daemon.handover.begin("alpha", 0.0)
    takeover.on_answer(answer)
    assert daemon.handover.finish(takeover, 20.0) is None
    assert not daemon.is_active(20.0)


def test_a_daemon_that_told_another_that_nobody_is_active_does_not_take_over():
    """Guards against two daemons with different lists that both become active."""
    daemon = Daemon(SECOND, without(FIRST), now=0.0)
    takeover = daemon.handover.begin("alpha", 1.0)
    assert daemon.answer(FIRST, 1.0).seconds == 0
    takeover.on_answer(TakeoverAnswer(0.0, is_active=True, tokens=9.0))
    assert daemon.handover.finish(takeover, 1.0) is None
    assert not daemon.is_active(1.0)
    daemon.take_over(2.0, NOBODY, NOBODY)
    assert not daemon.is_active(2.0)
    assert daemon.answer("d99", 2.0).seconds > 0


def test_a_takeover_that_broke_off_does_not_make_a_daemon_active():
    """Guards against a daemon that grants at the full rate without having asked the others."""
    daemon = Daemon(FIRST, NAMES, now=0.0)
    takeover = daemon.handover.begin("alpha", 0.0)
    takeover.on_answer(NOBODY)
    assert takeover.next_owner is not None
    assert daemon.handover.finish(takeover, 0.0) is None
    assert not daemon.is_active(0.0)
