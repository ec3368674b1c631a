"""The tree by which updates reach the daemons of a zone, and the ring that joins the zones.

No election is needed: each daemon works both out from the list. It orders the members of a
zone by the hash of their names. The first ones are the watchers, which read the platform. Every
other daemon follows a parent that comes before it in that order.

The watchers of all zones follow each other in one ring besides. What reaches one of them so
reaches each zone, also a zone whose watchers the platform does not answer.

Daemons whose lists differ for a while may follow each other in a circle. The `as_of` of their
updates then stands still, which sends each of them to its next parent.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

# Watchers of each zone, unless the settings say otherwise: one can fail.
WATCHERS = 2
# Followers for which a daemon is the first parent; docs/CAPACITY.md has the bytes behind it.
FANOUT = 3
# Hashes of names that are kept: those of 22,000 daemons and half as many that have gone.
KEPT_HASHES = 32768


def relay_order(members: Iterable[str]) -> list[str]:
    """The members of one zone in the order of the tree."""
    return sorted(members, key=_name_hash)


def is_watcher(name: str, order: Sequence[str], watchers: int = WATCHERS) -> bool:
    """Whether `name` reads the platform itself; one that is not listed yet does."""
    return name in order[:watchers] or name not in order


def parents_of(name: str, order: Sequence[str], watchers: int = WATCHERS) -> list[str]:
    """Whom `name` follows, in the order in which to try; empty for a watcher."""
    if is_watcher(name, order, watchers):
        return []
    place = order.index(name)
    first = (place - watchers) // FANOUT
    second = (first + 1) % place
    parents = dict.fromkeys((first, second, *range(watchers)))
    return [order[parent] for parent in parents]


def watches_list(name: str, order: Sequence[str]) -> bool:
    """Whether `name` watches the list: only one watcher of a zone does, because each change of
    the list ends every watch of it.
    """
    return name in order[:1] or name not in order


def watcher_ring(
    orders: Mapping[str, Sequence[str]], watchers: int = WATCHERS
) -> tuple[str, ...]:
    """The watchers of all zones, zone by zone; `orders` has the order of each zone."""
    return tuple(name for zone in sorted(orders) for name in orders[zone][:watchers])


def ring_parents_of(name: str, ring: Sequence[str]) -> list[str]:
    """Whom a watcher follows, in the order in which to try: from the one before it backwards
    round the ring to the one behind it.
    """
    place = ring.index(name) if name in ring else len(ring)
    return [*reversed(ring[:place]), *reversed(ring[place + 1 :])]


@lru_cache(maxsize=KEPT_HASHES)
def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
