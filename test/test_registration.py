"""Registration: late, doubled and forged words of a backend server change nothing."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.store.registration import (
    CLAIM_CONFIRM_SECONDS,
    MAX_RETIRED_IDS,
    Heartbeat,
    Registration,
    ServerState,
)

ADDRESS = "127.0.0.1:8000"


def registration():
    return Registration("papers", ADDRESS)


def beat(sequence, state=ServerState.READY, pool="papers", address=ADDRESS, slots=12):
    return Heartbeat(pool, address, slots, sequence, state)


def test_the_first_heartbeat_registers():
    one = registration()
    assert one.on_heartbeat("a", beat(1), 0.0)
    assert one.current.server == "a" and one.current.slots == 12
    assert not one.on_heartbeat("a", beat(2), 1.0)


def test_a_heartbeat_of_another_pool_or_address_is_not_ours():
    one = registration()
    assert not one.on_heartbeat("a", beat(1, pool="rolls"), 0.0)
    assert not one.on_heartbeat("a", beat(1, address="127.0.0.1:1"), 0.0)
    assert one.current is None


def test_a_late_heartbeat_does_not_take_draining_back():
    one = registration()
    one.on_heartbeat("a", beat(1), 0.0)
    assert one.on_heartbeat("a", beat(3, ServerState.LEAVING), 1.0)
    assert not one.on_heartbeat("a", beat(2), 1.1)
    assert not one.on_heartbeat("a", beat(4), 1.2)
    assert one.current.leaving


def test_a_goodbye_counts_without_a_heartbeat_before_it():
    one = registration()
    assert not one.on_deregistration("a")
    assert not one.on_heartbeat("a", beat(1), 0.0)
    assert one.current is None


def test_a_new_server_takes_over_and_the_old_one_stays_gone():
    one = registration()
    one.on_heartbeat("a", beat(5), 0.0)
    assert not one.on_heartbeat("b", beat(1), 1.0) and one.is_disputed
    assert one.on_health("b", 12, is_healthy=False) and not one.is_disputed
    assert one.current.server == "b"
    assert not one.on_heartbeat("a", beat(6), 1.1)
    assert not one.on_deregistration("a")
    assert one.current.server == "b" and not one.current.leaving


def test_a_late_draining_word_of_the_server_before_spares_the_present_one():
    one = registration()
    one.on_health("b", 12, is_healthy=True)
    assert not one.on_heartbeat("a", beat(9, ServerState.LEAVING), 0.0)
    assert one.current.server == "b" and not one.current.leaving


def test_a_late_heartbeat_of_a_crashed_server_changes_nothing_after_a_new_start_of_ours():
    """The daemon does not know the crashed one, as it has started anew itself."""
    for by_heartbeat in (False, True):
        one = registration()
        if by_heartbeat:
            one.on_heartbeat("b", beat(1), 0.0)
        else:
            one.on_health("b", 12, is_healthy=True)
        assert not one.on_heartbeat("a", beat(9), 0.5)
        assert one.current.server == "b" and one.is_disputed
        assert not one.on_health("b", 12, is_healthy=True)
        assert one.current.server == "b" and not one.is_disputed
        assert not one.on_heartbeat("a", beat(10), 2.5)
        one.on_heartbeat("b", beat(2), 2.6)
        assert one.on_heartbeat("b", beat(3, ServerState.LEAVING), 2.7)


def test_late_heartbeats_that_come_together_do_not_confirm_each_other():
    one = registration()
    one.on_heartbeat("b", beat(1), 0.0)
    for number in range(5):
        assert not one.on_heartbeat("a", beat(9 + number), 0.5 + number / 10)
    assert one.current.server == "b"


def test_a_new_server_whose_health_endpoint_is_silent_takes_over_by_beating_on():
    one = registration()
    one.on_heartbeat("a", beat(5), 0.0)
    assert not one.on_heartbeat("b", beat(1), 1.0)
    assert one.on_heartbeat("b", beat(2), 1.0 + CLAIM_CONFIRM_SECONDS)
    assert one.current.server == "b" and not one.is_disputed
    assert not one.on_heartbeat("a", beat(6), 3.0)


def test_health_tells_who_is_there_only_until_a_heartbeat():
    one = registration()
    assert not one.on_health("a", 12, is_healthy=False)
    assert one.on_health("a", 12, is_healthy=True)
    assert not one.on_health("b", 12, is_healthy=True)
    assert one.on_heartbeat("a", beat(1, ServerState.LEAVING), 0.0)
    assert one.current.leaving


def test_ids_of_the_past_are_bounded():
    one = registration()
    for number in range(MAX_RETIRED_IDS + 50):
        one.on_deregistration(str(number))
    assert len(one._retired) == MAX_RETIRED_IDS


WORDS = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.integers(1, 6),
        st.sampled_from([ServerState.READY, ServerState.LEAVING, None]),
    ),
    max_size=12,
)


@given(WORDS)
@settings(max_examples=400, derandomize=True, deadline=None)
def test_whatever_the_order_a_server_that_left_never_gets_work_again(words):
    one = registration()
    left = set()
    for server, sequence, state in words:
        if state is None:
            one.on_deregistration(server)
            left.add(server)
        else:
            one.on_heartbeat(server, beat(sequence, state), 0.0)
            is_current = one.current is not None and one.current.server == server
            if is_current and one.current.leaving:
                left.add(server)
        if one.current is not None and one.current.server in left:
            assert one.current.leaving
