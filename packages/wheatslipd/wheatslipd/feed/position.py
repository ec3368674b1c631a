"""This daemon's position in the relay tree: whether it reads the platform, and its parents."""

import asyncio
from collections.abc import Iterable

from wheatslip.distribution.relaytree import (
    is_watcher,
    parents_of,
    relay_order,
    ring_parents_of,
    watcher_ring,
    watches_list,
)
from wheatslip.store.instances import Instance


class RelayPosition:
    """The position derived from the current instance list.

    `role_changed` and `parents_changed` are set on a change, and cleared by the tasks that wait
    for them.
    """

    def __init__(self, name: str, zone: str, watchers: int):
        """`watchers` daemons of each zone read the platform."""
        self.name = name
        self._zone = zone
        self._watchers = watchers
        self._order: list[str] = []
        self._ring: tuple[str, ...] = ()  # computed by watchers only
        self.role_changed = asyncio.Event()
        self.parents_changed = asyncio.Event()

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon reads the platform for its zone."""
        return is_watcher(self.name, self._order, self._watchers)

    @property
    def watches_list(self) -> bool:
        """Whether this daemon also watches the instance list."""
        return watches_list(self.name, self._order)

    @property
    def has_zone_members(self) -> bool:
        """Whether an instance list with daemons of the own zone was received."""
        return bool(self._order)

    def parents(self) -> list[str]:
        """Return the names of the daemons to follow, in the order in which to try them."""
        if self.is_watcher:
            return ring_parents_of(self.name, self._ring)
        return parents_of(self.name, self._order, self._watchers)

    @property
    def ring_parent(self) -> str:
        """Name of the first parent of a watcher; empty for other daemons, or if it is alone."""
        return next(iter(self.parents()), "") if self.is_watcher else ""

    def removal_rank(self, zone: str) -> int | None:
        """Return how many daemons precede this one in removing dead entries of `zone`.

        None if this daemon does not read the platform.
        """
        if not self.is_watcher or self.name not in self._order:
            return None
        rank = self._order.index(self.name)
        return rank if zone == self._zone else self._watchers + rank

    def update(self, instances: Iterable[Instance]) -> None:
        """Compute the position from the current list, and set the events for what changed."""
        role_before = self._role()
        parents_before = self.parents()
        self._set_order(_names_by_zone(instances))
        if self._role() != role_before:
            self.role_changed.set()
        if self.role_changed.is_set() or self.parents() != parents_before:
            self.parents_changed.set()

    def _set_order(self, zones: dict[str, set[str]]) -> None:
        names_in_zone = zones.get(self._zone)
        if names_in_zone:
            # A daemon that is not listed yet takes the position that it will have.
            names_in_zone.add(self.name)
        # While no daemon of the zone is listed, the order is empty and each daemon of the zone
        # reads the platform.
        self._order = relay_order(names_in_zone or ())
        is_placed_watcher = self.name in self._order[: self._watchers]
        self._ring = self._build_ring(zones) if is_placed_watcher else ()

    def _build_ring(self, zones: dict[str, set[str]]) -> tuple[str, ...]:
        orders = {zone: relay_order(names) for zone, names in zones.items()}
        return watcher_ring(orders, self._watchers)

    def _role(self) -> tuple[bool, bool]:
        return self.is_watcher, self.watches_list


def _names_by_zone(instances: Iterable[Instance]) -> dict[str, set[str]]:
    zones: dict[str, set[str]] = {}
    for instance in instances:
        zones.setdefault(instance.zone, set()).add(instance.name)
    return zones
