"""The tree by which control data reaches the daemons of a zone, without an election.

Each daemon orders the zone's members by the hash of their names. The first few watch the
platform; each other follows one that stands before it. Daemons whose lists differ for a
while may follow each other in a ring; `as_of` of the updates then stands still, and the
follower turns to its next parent.
"""

import hashlib
from collections.abc import Iterable, Sequence

WATCHERS = 2  # of each zone, unless the settings say otherwise
FANOUT = 3  # followers of one daemon, about; docs/CAPACITY.md has the bytes behind it


def relay_order(members: Iterable[str]) -> list[str]:
    """The members of one zone in the order of the tree."""
    return sorted(members, key=_place)


def is_watcher(name: str, order: Sequence[str], watchers: int = WATCHERS) -> bool:
    """Whether `name` watches the platform itself."""
    return name in order[:watchers] or name not in order


def parents_of(name: str, order: Sequence[str], watchers: int = WATCHERS) -> list[str]:
    """Whom `name` follows, in the order in which to try; empty for a watcher."""
    if is_watcher(name, order, watchers):
        return []
    place = order.index(name)
    own = (place - watchers) // FANOUT
    neighbour = (own + 1) % place
    tried = dict.fromkeys((own, neighbour, *range(watchers)))
    return [order[parent] for parent in tried]


def list_parents_of(name: str, order: Sequence[str], watchers: int = WATCHERS) -> list[str]:
    """Whom `name` follows for the list: a watcher those before it, else its parents.

    Each change of the list ends every watch of it, so only the first watcher has one.
    """
    if not is_watcher(name, order, watchers):
        return parents_of(name, order, watchers)
    return list(order[: order.index(name)]) if name in order else []


def depth_of(count: int) -> int:
    """Steps from a watcher to the farthest of `count` members."""
    depth = 0
    place = count - 1
    while place >= WATCHERS:
        place = (place - WATCHERS) // FANOUT
        depth += 1
    return depth


def _place(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
