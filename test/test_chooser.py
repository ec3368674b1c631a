"""The choice of a backend server for a call, by availability zone, health and load."""

from random import Random

from wheatslip.chooser import Chooser, ChooserSettings, Upstream
from wheatslip.hop import LoadReport
from wheatslip.servernotice import ServerNotice


def make_upstream(name, zone="one", **fields):
    upstream = Upstream(name, zone, **fields)
    upstream.on_report(LoadReport(0, 0, 4, 0.005, 1), 0.0)
    return upstream


def test_failing_upstream_is_picked_again_only_after_a_pause():
    chooser = Chooser("one", Random(1))
    failing, healthy = make_upstream("a"), make_upstream("b")
    failing.on_failure(0.0, Random(1))
    assert {chooser.pick([failing, healthy], 0.01).name for _ in range(20)} == {"b"}
    assert {chooser.pick([failing, healthy], 60.0).name for _ in range(50)} == {"a", "b"}


def test_picks_spread_over_all_upstreams_if_none_is_healthy():
    chooser = Chooser("one", Random(1))
    upstreams = [make_upstream(name, healthy=False) for name in "abc"]
    assert {chooser.pick(upstreams, 0.0).name for _ in range(50)} == {"a", "b", "c"}


def test_draining_and_tried_upstreams_are_never_picked():
    chooser = Chooser("one", Random(1))
    upstreams = [make_upstream("a", listed_leaving=True), make_upstream("b")]
    assert chooser.pick(upstreams, 0.0, frozenset({"b"})) is None


def run_requests(chooser, upstreams, now, silent=""):
    """Sixty requests, one at a time, each of 10 ms; the names that were picked.

    No request to the upstream `silent` gets an answer.
    """
    picked = []
    for n in range(60):
        sent_at = now + 0.011 * n
        upstream = chooser.pick(upstreams, sent_at)
        picked.append(upstream.name)
        upstream.on_sent()
        if upstream.name != silent:
            chooser.on_report(upstream, LoadReport(1, 0, 4, 0.01, 1), sent_at + 0.01)
        upstream.on_done()
    return picked


def test_upstream_without_a_report_gets_requests_beside_one_that_reports_to_be_idle():
    """Guards against a server that never gets its first request, as each other is free."""
    for seed in range(20):
        chooser = Chooser("one", Random(seed))
        new, old = Upstream("new", "one"), make_upstream("old")
        run_requests(chooser, [old], 100.0)
        assert "new" in run_requests(chooser, [new, old], 101.0)


def test_upstream_that_has_not_answered_its_first_request_is_not_drawn_again():
    for seed in range(20):
        chooser = Chooser("one", Random(seed))
        silent, old = Upstream("silent", "one"), make_upstream("old")
        run_requests(chooser, [old], 100.0)
        # While the last report of the other one is new, it is the cheaper one.
        picked = run_requests(chooser, [silent, old], 100.661, silent="silent")
        assert picked.count("silent") == 1


def test_new_upstream_gets_a_growing_share_of_the_picks():
    rng = Random(1)
    chooser = Chooser("one", rng)
    new, old = make_upstream("new", joined=10.0), make_upstream("old")

    def share_of_new(now):
        return sum(chooser.pick([new, old], now).name == "new" for _ in range(400)) / 400

    assert share_of_new(10.0) < 0.1
    assert 0.15 < share_of_new(12.5) < 0.35
    assert 0.4 < share_of_new(15.0) < 0.6


def test_calls_spread_evenly_over_upstreams_without_reports():
    chooser = Chooser("one", Random(1))
    upstreams = [Upstream("a", "one"), Upstream("b", "one")]
    for _ in range(6):
        chooser.pick(upstreams, 0.0).on_sent()
    assert [upstream.in_flight for upstream in upstreams] == [3, 3]


def make_large_pool(far_penalty):
    """Returns a chooser in zone "one", and thirty upstreams, ten in each of three zones."""
    upstreams = [
        make_upstream(f"{zone}{i}", zone) for zone in ("one", "two", "three") for i in range(10)
    ]
    return Chooser("one", Random(1), ChooserSettings(far_penalty=far_penalty)), upstreams


def test_calls_stay_in_the_own_zone_if_far_zones_have_a_penalty():
    chooser, upstreams = make_large_pool(far_penalty=0.3)
    assert {chooser.pick(upstreams, 0.0).zone for _ in range(500)} == {"one"}


def test_calls_leave_a_full_zone_for_one_with_capacity():
    chooser, upstreams = make_large_pool(far_penalty=0.02)
    for upstream in upstreams:
        if upstream.zone == "one":
            upstream.in_flight = 8
    picked = [chooser.pick(upstreams, 0.0).zone for _ in range(200)]
    assert picked.count("one") < 20


def test_calls_spread_over_all_zones_without_a_penalty():
    chooser, upstreams = make_large_pool(far_penalty=0.0)
    picked = [chooser.pick(upstreams, 0.0) for _ in range(600)]
    assert {upstream.name for upstream in picked} == {upstream.name for upstream in upstreams}


def test_limited_upstream_gets_its_share_although_it_seems_slower():
    chooser = Chooser("one", Random(5))
    upstreams = [Upstream(name, "one") for name in ("a", "b", "c", "d")]
    for upstream in upstreams:
        service = 0.04 if upstream.name == "a" else 0.01
        chooser.on_report(upstream, LoadReport(0, 0, 8, service, 1), 0.0)
    limited = upstreams[0].notices
    limited.on_answer(ServerNotice(rate=4.0), 0.0)
    limited.on_refusal(None, 0.0)
    share = limited.share(0.0)
    picks = [chooser.pick(upstreams, 1.0).name for _ in range(4000)]
    assert abs(picks.count("a") / 4000 - share / 4) < 0.02
