"""The relay tree within each availability zone, and the ring that connects the zones.

There is no election: each daemon computes both from the instance list. It orders the members of
a zone by the hash of their names. The first members are the watchers, which read the platform.
Every other daemon follows (receives updates from) a parent that precedes it in that order.

The watchers of all zones also follow each other in one ring. An update that reaches any watcher
reaches every zone, including a zone whose watchers get no answer from the platform.

While daemons have different lists they may follow each other in a cycle. The `as_of` of their
updates then stops advancing, and each of them switches to its next parent.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

WATCHERS = 2  # default number per zone: one may fail
FANOUT = 3  # followers for which a daemon is the first parent; see docs/CAPACITY.md
MAX_CACHED_HASHES = 32768  # more than the daemons of a fleet, including replaced ones


def relay_order(members: Iterable[str]) -> list[str]:
    """The members of one zone in tree order."""
    return sorted(members, key=_name_hash)


def is_watcher(name: str, order: Sequence[str], watchers: int = WATCHERS) -> bool:
    """Whether `name` reads the platform itself. A daemon that is not listed yet does."""
    return name in order[:watchers] or name not in order


def parents_of(name: str, order: Sequence[str], watchers: int = WATCHERS) -> list[str]:
    """The parents of `name` in the order to try them; empty for a watcher."""
    if is_watcher(name, order, watchers):
        return []
    position = order.index(name)
    first_parent = (position - watchers) // FANOUT
    second_parent = (first_parent + 1) % position
    parents = dict.fromkeys((first_parent, second_parent, *range(watchers)))
    return [order[parent] for parent in parents]


def watches_list(name: str, order: Sequence[str]) -> bool:
    """Whether `name` watches the instance list. Only one watcher per zone does, because each
    change of the list ends every watch on it.
    """
    return name in order[:1] or name not in order


def watcher_ring(
    orders: Mapping[str, Sequence[str]], watchers: int = WATCHERS
) -> tuple[str, ...]:
    """The watchers of all zones, zone by zone. `orders` maps a zone to its tree order."""
    return tuple(name for zone in sorted(orders) for name in orders[zone][:watchers])


def ring_parents_of(name: str, ring: Sequence[str]) -> list[str]:
    """The parents of a watcher in the order to try them: backwards around the ring, from its
    predecessor to its successor.
    """
    position = ring.index(name) if name in ring else len(ring)
    return [*reversed(ring[:position]), *reversed(ring[position + 1 :])]


@lru_cache(maxsize=MAX_CACHED_HASHES)
def _name_hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
