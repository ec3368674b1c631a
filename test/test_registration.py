"""Registration: late, duplicate and foreign messages of backend servers change nothing."""

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import UNSET
from wheatslip.servernotice import ServerStart
from wheatslip.store.registration import (
    CLAIM_CONFIRM_SECONDS,
    MAX_RETIRED_IDS,
    Heartbeat,
    Registration,
    ServerState,
)

ADDRESS = "127.0.0.1:8000"


def new_registration():
    return Registration("papers", ADDRESS)


def heartbeat(
    sequence, state=ServerState.READY, pool="papers", address=ADDRESS, slots=12, born=UNSET
):
    return Heartbeat(pool, address, slots, sequence, state, born=born)


def test_the_first_heartbeat_registers():
    registration = new_registration()
    assert registration.on_heartbeat("a", heartbeat(1), 0.0)
    assert registration.current.server == "a" and registration.current.slots == 12
    assert not registration.on_heartbeat("a", heartbeat(2), 1.0)


def test_a_heartbeat_of_another_pool_or_address_is_ignored():
    registration = new_registration()
    assert not registration.on_heartbeat("a", heartbeat(1, pool="rolls"), 0.0)
    assert not registration.on_heartbeat("a", heartbeat(1, address="127.0.0.1:1"), 0.0)
    assert registration.current is None


def test_a_late_heartbeat_does_not_undo_draining():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(1), 0.0)
    assert registration.on_heartbeat("a", heartbeat(3, ServerState.LEAVING), 1.0)
    assert not registration.on_heartbeat("a", heartbeat(2), 1.1)
    assert not registration.on_heartbeat("a", heartbeat(4), 1.2)
    assert registration.current.leaving


def test_a_deregistration_before_any_heartbeat_retires_the_server():
    registration = new_registration()
    assert not registration.on_deregistration("a")
    assert not registration.on_heartbeat("a", heartbeat(1), 0.0)
    assert registration.current is None


def test_a_new_server_takes_over_and_the_old_one_stays_retired():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(5), 0.0)
    assert not registration.on_heartbeat("b", heartbeat(1), 1.0) and registration.is_disputed
    assert registration.on_health("b", 12, is_healthy=False) and not registration.is_disputed
    assert registration.current.server == "b"
    assert not registration.on_heartbeat("a", heartbeat(6), 1.1)
    assert not registration.on_deregistration("a")
    assert registration.current.server == "b" and not registration.current.leaving


def test_a_late_draining_heartbeat_of_a_previous_server_is_ignored():
    registration = new_registration()
    registration.on_health("b", 12, is_healthy=True)
    assert not registration.on_heartbeat("a", heartbeat(9, ServerState.LEAVING), 0.0)
    assert registration.current.server == "b" and not registration.current.leaving


def test_a_late_heartbeat_of_a_crashed_server_is_ignored_after_a_daemon_restart():
    """The restarted daemon does not know the id of the crashed server."""
    for is_by_heartbeat in (False, True):
        registration = new_registration()
        if is_by_heartbeat:
            registration.on_heartbeat("b", heartbeat(1), 0.0)
        else:
            registration.on_health("b", 12, is_healthy=True)
        assert not registration.on_heartbeat("a", heartbeat(9), 0.5)
        assert registration.current.server == "b" and registration.is_disputed
        assert not registration.on_health("b", 12, is_healthy=True)
        assert registration.current.server == "b" and not registration.is_disputed
        assert not registration.on_heartbeat("a", heartbeat(10), 2.5)
        registration.on_heartbeat("b", heartbeat(2), 2.6)
        assert registration.on_heartbeat("b", heartbeat(3, ServerState.LEAVING), 2.7)


def test_late_heartbeats_that_arrive_together_do_not_confirm_a_claim():
    registration = new_registration()
    registration.on_heartbeat("b", heartbeat(1), 0.0)
    for number in range(5):
        assert not registration.on_heartbeat("a", heartbeat(9 + number), 0.5 + number / 10)
    assert registration.current.server == "b"


def test_a_new_server_without_a_health_response_takes_over_by_further_heartbeats():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(5), 0.0)
    assert not registration.on_heartbeat("b", heartbeat(1), 1.0)
    assert registration.on_heartbeat("b", heartbeat(2), 1.0 + CLAIM_CONFIRM_SECONDS)
    assert registration.current.server == "b" and not registration.is_disputed
    assert not registration.on_heartbeat("a", heartbeat(6), 3.0)


def test_the_health_response_registers_a_server_only_until_a_heartbeat():
    registration = new_registration()
    assert not registration.on_health("a", 12, is_healthy=False)
    assert registration.on_health("a", 12, is_healthy=True)
    assert not registration.on_health("b", 12, is_healthy=True)
    assert registration.on_heartbeat("a", heartbeat(1, ServerState.LEAVING), 0.0)
    assert registration.current.leaving


def test_a_server_started_again_under_its_id_is_registered_anew():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(8, born=1000), 0.0)
    assert registration.on_leaving("a")
    assert not registration.on_heartbeat("a", heartbeat(9, born=1000), 1.0)
    assert registration.on_heartbeat("a", heartbeat(1, born=2000), 2.0)
    assert registration.current.start == ServerStart("a", 2000)
    assert not registration.current.leaving
    # A late heartbeat of the earlier start.
    assert not registration.on_heartbeat(
        "a", heartbeat(10, ServerState.LEAVING, born=1000), 3.0
    )
    assert not registration.current.leaving


def test_a_server_that_deregistered_comes_back_only_in_a_later_start():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(8, born=1000), 0.0)
    registration.on_deregistration("a")
    assert not registration.on_heartbeat("a", heartbeat(9, born=1000), 1.0)
    assert registration.current.leaving
    assert registration.on_heartbeat("a", heartbeat(1, born=2000), 2.0)
    assert not registration.current.leaving


def test_a_late_deregistration_of_an_earlier_start_changes_nothing():
    """Guards against a running server that counts as leaving until it ends."""
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(8, born=1000), 0.0)
    assert registration.on_heartbeat("a", heartbeat(1, born=2000), 2.0)
    assert not registration.on_deregistration("a", born=1000)
    assert not registration.current.leaving
    assert not registration.on_heartbeat("a", heartbeat(9, born=1000), 3.0)
    assert registration.on_deregistration("a", born=2000)
    assert registration.current.leaving


def test_a_server_whose_responses_said_that_it_leaves_stays_away():
    registration = new_registration()
    registration.on_heartbeat("a", heartbeat(1), 0.0)
    assert not registration.on_leaving("b")
    assert registration.on_leaving("a") and not registration.on_leaving("a")
    registration.on_heartbeat("a", heartbeat(2), 1.0)
    registration.on_heartbeat("a", heartbeat(3, slots=4, born=1000), 2.0)
    assert registration.current.leaving


def test_the_number_of_retired_ids_is_bounded():
    registration = new_registration()
    for number in range(MAX_RETIRED_IDS + 50):
        registration.on_deregistration(str(number))
    assert len(registration._retired) == MAX_RETIRED_IDS


MESSAGES = st.lists(
    st.tuples(
        st.sampled_from("ab"),
        st.integers(1, 6),
        st.sampled_from([ServerState.READY, ServerState.LEAVING, None]),
    ),
    max_size=12,
)


@given(MESSAGES)
@settings(max_examples=400, derandomize=True, deadline=None)
def test_a_server_that_left_never_gets_requests_again(messages):
    registration = new_registration()
    left = set()
    for server, sequence, state in messages:
        if state is None:
            registration.on_deregistration(server)
            left.add(server)
        else:
            registration.on_heartbeat(server, heartbeat(sequence, state), 0.0)
            is_current = (
                registration.current is not None and registration.current.server == server
            )
            if is_current and registration.current.leaving:
                left.add(server)
        if registration.current is not None and registration.current.server in left:
            assert registration.current.leaving
