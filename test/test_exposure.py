"""Which requests count as running on a backend server that ends."""

from wheatslip.fingerprint import HASHED_BODY_BYTES, request_fingerprint
from wheatslip.runtracker import (
    ANSWER_VALID_SECONDS,
    CALLER_LEFT_SECONDS,
    MAX_ANSWERS,
    Run,
    RunTracker,
)
from wheatslipd.http.identity import fingerprint_of
from wheatslipd.http.messages import RequestHead

METHOD, TARGET = b"GET", b"/view/1?page=2"


def run_of(name):
    return Run(name, "papers", "view")


def suspects(exposed):
    return sorted(run.fingerprint for run in exposed.suspects)


def test_a_fingerprint_is_that_of_what_a_caller_sends_again():
    same = request_fingerprint("alpha", "papers", METHOD, TARGET, b"body")
    assert same == request_fingerprint("alpha", "papers", METHOD, TARGET, b"body")
    others = {
        request_fingerprint("beta", "papers", METHOD, TARGET, b"body"),
        request_fingerprint("alpha", "results", METHOD, TARGET, b"body"),
        request_fingerprint("alpha", "papers", b"POST", TARGET, b"body"),
        request_fingerprint("alpha", "papers", METHOD, b"/view/1", b"body"),
        request_fingerprint("alpha", "papers", METHOD, TARGET, b"other"),
    }
    assert len(others) == 5 and same not in others


def head_for(host):
    return RequestHead(METHOD, TARGET, [(b"host", host)])


def test_a_workspace_sends_the_same_request_whichever_daemon_it_is_sent_to():
    """Its host is the address of the entry; by routes the host selects the route."""
    first, second = head_for(b"127.0.0.1:7001"), head_for(b"127.0.0.2:7001")
    made = [fingerprint_of(head, "alpha", "papers", b"") for head in (first, second)]
    assert made[0] == made[1]
    hosts = (b"a.example", b"A.example:7001", b"b.example")
    by_routes = [fingerprint_of(head_for(host), "", "papers", b"") for host in hosts]
    assert by_routes[0] == by_routes[1] != by_routes[2]


def test_of_a_long_body_the_beginning_counts():
    begun = b"x" * HASHED_BODY_BYTES
    whole = request_fingerprint("", "papers", METHOD, TARGET, begun + b"the rest")
    assert whole == request_fingerprint("", "papers", METHOD, TARGET, begun)


def test_what_ran_on_a_server_that_ends_is_suspect_and_what_it_answered_is_not():
    exposure = RunTracker()
    answered, running, broken, left, refused = map(run_of, "arblx")
    for one in (answered, running, broken, left, refused):
        exposure.begin(one)
    exposure.answered(answered, 1.0)
    exposure.broken(broken, 1.0)
    exposure.left(left, 1.0)
    exposure.not_run(refused)
    exposed = exposure.server_ended(1.1)
    assert suspects(exposed) == ["b", "l", "r"]
    assert exposure.server_ended(1.2).runs == 0


def test_what_left_long_before_the_end_did_not_end_the_server():
    exposure = RunTracker()
    one = run_of("l")
    exposure.begin(one)
    exposure.left(one, 1.0)
    assert exposure.server_ended(1.1 + CALLER_LEFT_SECONDS).runs == 0


def test_an_answer_speaks_for_a_request_once_and_for_a_time():
    exposure = RunTracker()
    for seconds in (0.0, 1.0):
        one = run_of("a")
        exposure.begin(one)
        if not seconds:
            exposure.answered(one, 0.0)
            exposure.begin(run_of("a"))
        exposed = exposure.server_ended(seconds)
        assert suspects(exposed) == (["a"] if seconds else [])
        assert exposed.answered_before == (0 if seconds else 1)
    again = run_of("a")
    exposure.begin(again)
    exposure.answered(again, 2.0)
    exposure.begin(run_of("a"))
    assert suspects(exposure.server_ended(2.1 + ANSWER_VALID_SECONDS)) == ["a"]


def test_the_memory_of_answers_and_of_callers_that_left_is_bounded():
    exposure = RunTracker()
    for number in range(3 * MAX_ANSWERS):
        answered, left = run_of(f"a{number}"), run_of(f"l{number}")
        exposure.begin(answered)
        exposure.answered(answered, 0.0)
        exposure.begin(left)
        exposure.left(left, 0.0)
    assert len(exposure._answers) == MAX_ANSWERS
    assert exposure.server_ended(0.0).runs == MAX_ANSWERS
