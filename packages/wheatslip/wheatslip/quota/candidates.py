"""The first listed daemons in rendezvous order of each workspace.

The results are cached and kept up to date as the list changes.
"""

import heapq
from collections import OrderedDict
from collections.abc import Collection, Iterable

from wheatslip.owners import rendezvous_weights

SPARE_MEMBERS = 4  # cached beyond the first ones, to replace those that leave the list
MAX_CACHED_WORKSPACES = 4096  # limits memory; the least recently used one is evicted

_Weighted = tuple[bytes, str]  # weight and name; names decide between equal weights


class Candidates:
    """The first `count` listed daemons of each workspace.

    These and some spare ones are cached. An added member is only compared with the cached ones.
    They are computed again only if too many of them have left the list.
    """

    def __init__(self, count: int):
        self._count = count
        self._members: frozenset[str] = frozenset()
        self._cache: OrderedDict[str, list[_Weighted]] = OrderedDict()

    @property
    def members(self) -> frozenset[str]:
        return self._members

    def set_members(self, names: Iterable[str]) -> None:
        members = frozenset(names)
        added = members - self._members
        removed = self._members - members
        self._members = members
        former_count = len(members) - len(added) + len(removed)
        if len(added) > len(members) // 2:  # comparing costs as much as computing again
            self._cache.clear()
            return
        for workspace, first in list(self._cache.items()):
            has_all = len(first) == former_count
            if removed and any(name in removed for _, name in first):
                first[:] = [entry for entry in first if entry[1] not in removed]
            if len(first) < self._count and not has_all:
                del self._cache[workspace]
            elif added:
                self._insert(workspace, first, added, has_all=has_all)

    def of(self, workspace: str) -> tuple[str, ...]:
        first = self._cache.get(workspace)
        if first is None:
            first = self._first(workspace, self._members)
            self._cache[workspace] = first
            if len(self._cache) > MAX_CACHED_WORKSPACES:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(workspace)
        return tuple(name for _, name in first[: self._count])

    def _insert(
        self, workspace: str, first: list[_Weighted], added: Collection[str], *, has_all: bool
    ) -> None:
        """Adds the members that come before the last cached one, or all if none is missing."""
        last = None if has_all else first[-1]
        for entry in zip(rendezvous_weights(workspace, added), added, strict=True):
            if last is None or entry > last:
                first.append(entry)
        first.sort(reverse=True)
        del first[self._count + SPARE_MEMBERS :]

    def _first(self, workspace: str, members: Collection[str]) -> list[_Weighted]:
        entries = zip(rendezvous_weights(workspace, members), members, strict=True)
        return heapq.nlargest(self._count + SPARE_MEMBERS, entries)
