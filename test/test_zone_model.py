"""Emptied zones explored to the end: all states of a store and two daemons, with some changes.

The store's answers are on their way for any time, come in any order or never; each daemon reads
the whole, hears of changes, follows the other, and is started anew. Whatever the course, what
a daemon knows is what held at the version that it names, it never goes back within a life, and
one answer that comes now makes it right.
"""

from dataclasses import dataclass, replace

from wheatslip.config.zonedrains import ZoneDrain, ZoneDrains, with_changes
from wheatslip.distribution.feedcache import FeedCache

ZONE = "one"
CHANGES = 3  # of the zone: emptied, restored, emptied again
ON_THE_WAY = 2  # answers at one time
DAEMONS = (0, 1)
LEAST_STATES = 13_000  # as many there are; fewer would mean that the search lost its way


@dataclass(frozen=True)
class Answer:
    """To one daemon: what held at `version`; `since` is None for the whole, the version from
    which changes are told, or for an update of the other daemon its drains.
    """

    to: int
    version: int
    since: int | None = None
    update: ZoneDrains | None = None


@dataclass(frozen=True)
class State:
    version: int = 0
    known: tuple = (None, None)  # ZoneDrains of each daemon
    way: frozenset = frozenset()


def is_emptied(version):
    return version % 2 == 1


def drain_at(version):
    return ((ZONE, ZoneDrain(ZONE) if is_emptied(version) else None),)


def cache_with(known):
    cache = FeedCache()
    if known is not None:
        cache.store_drains(known)
    return cache


def taken(known, answer):
    """What a daemon that knows `known` makes of an answer."""
    cache = cache_with(known)
    if answer.update is not None:
        cache.store_drains(answer.update)
        return cache.drains
    if answer.since is None:
        changes = drain_at(answer.version) if is_emptied(answer.version) else ()
    else:
        versions = range(answer.since + 1, answer.version + 1)
        changes = [change for version in versions for change in drain_at(version)]
    new = with_changes(known, changes, answer.version, whole=answer.since is None)
    if new is not None:
        cache.store_drains(new)
    return cache.drains


def with_known(state, daemon, known):
    both = list(state.known)
    both[daemon] = known
    return replace(state, known=tuple(both))


def steps(state):
    """All states that may come next."""
    if state.version < CHANGES:
        yield replace(state, version=state.version + 1)
    for daemon in DAEMONS:
        yield with_known(state, daemon, None)  # started anew; answers to it are lost
        known = state.known[daemon]
        asked = [Answer(daemon, state.version)]
        if known is not None:
            asked.append(Answer(daemon, state.version, known.version))
        other = state.known[1 - daemon]
        if other is not None:
            asked.append(Answer(daemon, other.version, update=other))
        if len(state.way) < ON_THE_WAY:
            for answer in asked:
                yield replace(state, way=state.way | {answer})
    for answer in state.way:
        left = replace(state, way=state.way - {answer})
        yield left  # it is lost
        known = state.known[answer.to]
        if answer.since is not None and (known is None or known.version < answer.since):
            continue  # a watch ends with the daemon that made it
        new = taken(known, answer)
        assert known is None or new.version >= known.version
        yield with_known(left, answer.to, new)


def check(state):
    for known in state.known:
        if known is not None:
            assert (ZONE in known.zones) == is_emptied(known.version)
        heard = taken(known, Answer(0, state.version))
        assert (ZONE in heard.zones) == is_emptied(state.version)


def test_every_state_of_a_store_and_two_daemons_holds():
    seen = {State()}
    ahead = [State()]
    while ahead:
        state = ahead.pop()
        check(state)
        for following in steps(state):
            if following not in seen:
                seen.add(following)
                ahead.append(following)
    assert len(seen) >= LEAST_STATES
