"""Which requests are suspects when the backend server that ran them ends."""

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


def make_run(name):
    return Run(name, "papers", "view")


def suspect_fingerprints(ended_runs):
    return sorted(run.fingerprint for run in ended_runs.suspects)


def test_only_a_resent_request_has_the_same_fingerprint():
    fingerprint = request_fingerprint("alpha", "papers", METHOD, TARGET, b"body")
    assert fingerprint == request_fingerprint("alpha", "papers", METHOD, TARGET, b"body")
    others = {
        request_fingerprint("beta", "papers", METHOD, TARGET, b"body"),
        request_fingerprint("alpha", "results", METHOD, TARGET, b"body"),
        request_fingerprint("alpha", "papers", b"POST", TARGET, b"body"),
        request_fingerprint("alpha", "papers", METHOD, b"/view/1", b"body"),
        request_fingerprint("alpha", "papers", METHOD, TARGET, b"other"),
    }
    assert len(others) == 5 and fingerprint not in others


def make_head(host):
    return RequestHead(METHOD, TARGET, [(b"host", host)])


def test_host_is_part_of_the_fingerprint_only_with_routes():
    """Without routes the host is the address of an entry; with routes it selects the route."""
    first, second = make_head(b"127.0.0.1:7001"), make_head(b"127.0.0.2:7001")
    fingerprints = [fingerprint_of(head, "alpha", "papers", b"") for head in (first, second)]
    assert fingerprints[0] == fingerprints[1]
    hosts = (b"a.example", b"A.example:7001", b"b.example")
    routed_fingerprints = [fingerprint_of(make_head(host), "", "papers", b"") for host in hosts]
    assert routed_fingerprints[0] == routed_fingerprints[1] != routed_fingerprints[2]


def test_only_the_beginning_of_a_long_body_is_hashed():
    hashed_part = b"x" * HASHED_BODY_BYTES
    fingerprint = request_fingerprint("", "papers", METHOD, TARGET, hashed_part + b"the rest")
    assert fingerprint == request_fingerprint("", "papers", METHOD, TARGET, hashed_part)


def test_unanswered_requests_of_an_ended_server_are_suspects():
    tracker = RunTracker()
    answered, running, broken, left, refused = map(make_run, "arblx")
    for run in (answered, running, broken, left, refused):
        tracker.begin(run)
    tracker.answered(answered, 1.0)
    tracker.broken(broken, 1.0)
    tracker.left(left, 1.0)
    tracker.not_run(refused)
    ended_runs = tracker.server_ended(1.1)
    assert suspect_fingerprints(ended_runs) == ["b", "l", "r"]
    assert tracker.server_ended(1.2).runs == 0


def test_request_whose_caller_left_long_before_the_end_is_no_suspect():
    tracker = RunTracker()
    run = make_run("l")
    tracker.begin(run)
    tracker.left(run, 1.0)
    assert tracker.server_ended(1.1 + CALLER_LEFT_SECONDS).runs == 0


def test_answer_exempts_a_request_once_and_until_it_expires():
    tracker = RunTracker()
    for seconds in (0.0, 1.0):
        run = make_run("a")
        tracker.begin(run)
        if not seconds:
            tracker.answered(run, 0.0)
            tracker.begin(make_run("a"))
        ended_runs = tracker.server_ended(seconds)
        assert suspect_fingerprints(ended_runs) == (["a"] if seconds else [])
        assert ended_runs.answered_before == (0 if seconds else 1)
    repeated_run = make_run("a")
    tracker.begin(repeated_run)
    tracker.answered(repeated_run, 2.0)
    tracker.begin(make_run("a"))
    assert suspect_fingerprints(tracker.server_ended(2.1 + ANSWER_VALID_SECONDS)) == ["a"]


def test_records_of_answers_and_of_callers_that_left_are_bounded():
    tracker = RunTracker()
    for number in range(3 * MAX_ANSWERS):
        answered, left = make_run(f"a{number}"), make_run(f"l{number}")
        tracker.begin(answered)
        tracker.answered(answered, 0.0)
        tracker.begin(left)
        tracker.left(left, 0.0)
    assert len(tracker._answers) == MAX_ANSWERS
    assert tracker.server_ended(0.0).runs == MAX_ANSWERS
