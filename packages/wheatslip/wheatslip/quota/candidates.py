"""The first listed daemons in rendezvous order of each workspace.

The results are cached and kept up to date as the list changes.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterable

from wheatslip.owners import rendezvous_weight

MAX_CACHED_WORKSPACES = 4096  # limits memory; the least recently used one is evicted

_Ranked = tuple[bytes, str]  # weight and name; names decide between equal weights


class Candidates:
    """The first `count` listed daemons of each workspace.

    Results are cached. An added member is only compared with the cached ones. A result is
    computed again only if one of its members has left the list.
    """

    def __init__(self, count: int):
        self._count = count
        self._members: frozenset[str] = frozenset()
        self._cache: OrderedDict[str, list[_Ranked]] = OrderedDict()

    @property
    def members(self) -> frozenset[str]:
        return self._members

    def set_members(self, names: Iterable[str]) -> None:
        members = frozenset(names)
        added = members - self._members
        removed = self._members - members
        self._members = members
        if len(added) > len(members) // 2:  # comparing costs as much as computing again
            self._cache.clear()
            return
        for workspace, ranked in list(self._cache.items()):
            if any(name in removed for _, name in ranked):
                del self._cache[workspace]
            elif added:
                self._insert(workspace, ranked, added)

    def of(self, workspace: str) -> tuple[str, ...]:
        ranked = self._cache.get(workspace)
        if ranked is None:
            ranked = self._first(workspace, self._members)
            self._cache[workspace] = ranked
            if len(self._cache) > MAX_CACHED_WORKSPACES:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(workspace)
        return tuple(name for _, name in ranked)

    def _insert(self, workspace: str, ranked: list[_Ranked], added: Iterable[str]) -> None:
        for name in added:
            entry = (rendezvous_weight(workspace, name), name)
            if len(ranked) < self._count or entry > ranked[-1]:
                ranked.append(entry)
                ranked.sort(reverse=True)
                del ranked[self._count :]

    def _first(self, workspace: str, members: Iterable[str]) -> list[_Ranked]:
        weighted = ((rendezvous_weight(workspace, name), name) for name in members)
        return heapq.nlargest(self._count, weighted)
