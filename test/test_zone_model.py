"""Exhaustive model check of zone drains: all states of a store and two daemons.

Responses of the store are delayed, reordered or lost. Each daemon reads all drains, watches for
changes, follows the other daemon and restarts. The drains that a daemon knows must be those of
their version, the version never decreases between restarts, and one new response must make the
daemon's state current.
"""

from dataclasses import dataclass, replace

from wheatslip.config.zonedrains import ZoneDrain, ZoneDrains, with_changes
from wheatslip.distribution.feedcache import FeedCache

ZONE = "one"
MAX_CHANGES = 3  # drained, restored, drained again
MAX_IN_FLIGHT = 2  # responses
DAEMONS = (0, 1)
MIN_STATES = 13_000  # a lower number shows an incomplete search


@dataclass(frozen=True)
class Response:
    """A response to one daemon at `version`: all drains, the changes after version `since` if
    it is not None, or the drains in an update of the other daemon.
    """

    daemon: int
    version: int
    since: int | None = None
    update: ZoneDrains | None = None


@dataclass(frozen=True)
class State:
    version: int = 0
    known: tuple = (None, None)  # ZoneDrains of each daemon
    in_flight: frozenset = frozenset()


def is_drained(version):
    return version % 2 == 1


def change_at(version):
    return ((ZONE, ZoneDrain(ZONE) if is_drained(version) else None),)


def cache_with(known):
    cache = FeedCache()
    if known is not None:
        cache.store_drains(known)
    return cache


def after_response(known, response):
    """The drains that a daemon knows after a response; `known` are those before it."""
    cache = cache_with(known)
    if response.update is not None:
        cache.store_drains(response.update)
        return cache.drains
    if response.since is None:
        changes = change_at(response.version) if is_drained(response.version) else ()
    else:
        versions = range(response.since + 1, response.version + 1)
        changes = [change for version in versions for change in change_at(version)]
    new = with_changes(known, changes, response.version, whole=response.since is None)
    if new is not None:
        cache.store_drains(new)
    return cache.drains


def replace_known(state, daemon, known):
    both = list(state.known)
    both[daemon] = known
    return replace(state, known=tuple(both))


def next_states(state):
    """All states that can follow `state`."""
    if state.version < MAX_CHANGES:
        yield replace(state, version=state.version + 1)
    for daemon in DAEMONS:
        yield replace_known(state, daemon, None)  # a restart
        known = state.known[daemon]
        responses = [Response(daemon, state.version)]
        if known is not None:
            responses.append(Response(daemon, state.version, known.version))
        other = state.known[1 - daemon]
        if other is not None:
            responses.append(Response(daemon, other.version, update=other))
        if len(state.in_flight) < MAX_IN_FLIGHT:
            for response in responses:
                yield replace(state, in_flight=state.in_flight | {response})
    for response in state.in_flight:
        remaining = replace(state, in_flight=state.in_flight - {response})
        yield remaining  # the response is lost
        known = state.known[response.daemon]
        if response.since is not None and (known is None or known.version < response.since):
            continue  # the watch ended with the restart of its daemon
        new = after_response(known, response)
        assert known is None or new.version >= known.version
        yield replace_known(remaining, response.daemon, new)


def check(state):
    for known in state.known:
        if known is not None:
            assert (ZONE in known.zones) == is_drained(known.version)
        updated = after_response(known, Response(0, state.version))
        assert (ZONE in updated.zones) == is_drained(state.version)


def test_all_states_of_a_store_and_two_daemons_are_consistent():
    visited = {State()}
    pending = [State()]
    while pending:
        state = pending.pop()
        check(state)
        for next_state in next_states(state):
            if next_state not in visited:
                visited.add(next_state)
                pending.append(next_state)
    assert len(visited) >= MIN_STATES
