"""Routes: their settings in a bundle, and which one a request matches."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.config.bundle import Route, Split
from wheatslip.config.bundleini import parse_bundle
from wheatslip.config.changes import ChangeKind, changes_between
from wheatslip.config.deltas import apply_delta, delta_between
from wheatslip.config.head import Head
from wheatslip.config.routes import RouteTable, pick_service

from test.helper import BUNDLE

ROUTED = (
    BUNDLE
    + """
[route view]
host = Papers.example
prefix = /view/
services = papers
repeatable = yes
timeout = 1s
target = 400ms
priority = 2
max-attempts = 2
"""
)
SEGMENTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)


def make_route(prefix, host="h"):
    return Route(prefix, host, prefix, (Split("papers"),))


def test_all_settings_of_a_route_are_parsed():
    (route,) = parse_bundle(ROUTED, "test").unwrap().routes
    assert route == Route(
        "view", "papers.example", "/view/", (Split("papers"),), True, 1.0, 0.4, 2, 2
    )


def test_splits_are_parsed_with_their_weights():
    text = ROUTED.replace("services = papers", "services = papers:90, papers:10")
    (route,) = parse_bundle(text, "test").unwrap().routes
    assert route.splits == (Split("papers", 90.0), Split("papers", 10.0))


def test_problem_names_the_invalid_setting_of_a_route():
    for bad, key in (
        (ROUTED.replace("/view/", "view"), "prefix"),
        (ROUTED.replace("services = papers", "services = papers:0"), "services"),
        (ROUTED.replace("services = papers", "services = rolls"), "services"),
        (ROUTED.replace("host = Papers.example\n", ""), "host"),
        (ROUTED.replace("max-attempts = 2", "max-attempts = 0"), "max-attempts"),
        (ROUTED + ROUTED[ROUTED.index("[route") :].replace("view]", "again]"), "prefix"),
    ):
        problems = parse_bundle(bad, "test").unwrap_err()
        assert [problem.key for problem in problems] == [key], bad


def test_changed_route_is_listed_and_encoded_as_a_delta():
    old = parse_bundle(ROUTED, "test").unwrap()
    new = parse_bundle(
        ROUTED.replace("version = 1", "version = 2").replace("400ms", "300ms"), "test"
    ).unwrap()
    (change,) = changes_between(old, new)
    assert (change.kind, change.item, change.fields) == (
        ChangeKind.CHANGED,
        "route view",
        ("target",),
    )
    delta = delta_between(old, new, Head(2, new.digest()), ())
    assert apply_delta(old, delta).digest() == new.digest()


@given(st.lists(SEGMENTS, max_size=6), SEGMENTS, st.booleans())
@settings(max_examples=300, derandomize=True, deadline=None)
def test_longest_matching_prefix_of_the_host_is_chosen(prefixes, path_segments, is_folder):
    paths = {"/" + "".join(s + "/" for s in segments) for segments in prefixes}
    table = RouteTable([make_route(p) for p in paths] + [make_route("/", host="other")])
    path = "/" + "/".join(path_segments) + ("/" if is_folder and path_segments else "")
    matching = [p for p in paths if path.startswith(p)]
    route = table.find("H", path)
    assert (route.prefix if route else None) == max(matching, key=len, default=None)


def test_an_unknown_host_has_no_route():
    assert RouteTable([make_route("/")]).find("nobody", "/") is None


def test_splits_get_their_share_of_the_requests():
    route = Route("r", "h", "/", (Split("a", 90.0), Split("b", 10.0)))
    rng = Random(5)
    picked = [pick_service(route, rng) for _ in range(5000)]
    assert 0.08 < picked.count("b") / len(picked) < 0.12
