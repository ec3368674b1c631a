"""The chooser: which backend server gets a call, by zone, standing and load."""

from random import Random

from wheatslip.chooser import Chooser, ChooserSettings, Upstream
from wheatslip.hop import LoadReport


def upstream(name, zone="one", **known):
    made = Upstream(name, zone, **known)
    made.on_report(LoadReport(0, 0, 4, 0.005, 1), 0.0)
    return made


def test_a_failing_upstream_is_left_alone_and_comes_back():
    chooser = Chooser("one", Random(1))
    failing, well = upstream("a"), upstream("b")
    failing.on_failure(0.0, Random(1))
    assert {chooser.pick([failing, well], 0.01).name for _ in range(20)} == {"b"}
    assert {chooser.pick([failing, well], 60.0).name for _ in range(50)} == {"a", "b"}


def test_when_none_is_well_the_picks_spread_over_all():
    chooser = Chooser("one", Random(1))
    group = [upstream(name, healthy=False) for name in "abc"]
    assert {chooser.pick(group, 0.0).name for _ in range(50)} == {"a", "b", "c"}


def test_draining_and_tried_upstreams_are_never_picked():
    chooser = Chooser("one", Random(1))
    group = [upstream("a", listed_leaving=True), upstream("b")]
    assert chooser.pick(group, 0.0, frozenset({"b"})) is None


def test_a_new_upstream_joins_gradually():
    rng = Random(1)
    chooser = Chooser("one", rng)
    new, old = upstream("new", joined=10.0), upstream("old")

    def part(now):
        return sum(chooser.pick([new, old], now).name == "new" for _ in range(400)) / 400

    assert part(10.0) < 0.1
    assert 0.15 < part(12.5) < 0.35
    assert 0.4 < part(15.0) < 0.6


def test_upstreams_of_which_nothing_is_known_share_the_calls():
    chooser = Chooser("one", Random(1))
    group = [Upstream("a", "one"), Upstream("b", "one")]
    for _ in range(6):
        chooser.pick(group, 0.0).on_sent()
    assert [one.in_flight for one in group] == [3, 3]


def large_pool(far_penalty):
    """Thirty upstreams, evenly in three zones, and a chooser in one of them."""
    group = [
        upstream(f"{zone}{i}", zone) for zone in ("one", "two", "three") for i in range(10)
    ]
    return Chooser("one", Random(1), ChooserSettings(far_penalty=far_penalty)), group


def test_a_large_pool_leaves_the_own_zone_only_for_its_price():
    chooser, group = large_pool(far_penalty=0.3)
    assert {chooser.pick(group, 0.0).zone for _ in range(500)} == {"one"}


def test_a_full_zone_spills_over_to_one_with_room():
    chooser, group = large_pool(far_penalty=0.02)
    for one in group:
        if one.zone == "one":
            one.in_flight = 8
    picked = [chooser.pick(group, 0.0).zone for _ in range(200)]
    assert picked.count("one") < 20


def test_zones_without_a_price_share_the_calls():
    chooser, group = large_pool(far_penalty=0.0)
    picked = [chooser.pick(group, 0.0) for _ in range(600)]
    assert {one.name for one in picked} == {one.name for one in group}
