"""This daemon's place in the tree: whether it reads the platform, and whom it follows."""

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


class Place:
    """The place by the present list.

    `role_changed` and `parents_changed` are set on a change; the tasks that act on them clear
    them.
    """

    def __init__(self, name: str, zone: str, watchers: int):
        """`watchers` daemons of each zone read the platform."""
        self.name = name
        self._zone = zone
        self._watchers = watchers
        self._order: list[str] = []
        self._ring: tuple[str, ...] = ()  # worked out by watchers only
        self.role_changed = asyncio.Event()
        self.parents_changed = asyncio.Event()

    @property
    def watches(self) -> bool:
        """Whether this daemon reads the platform for others."""
        return is_watcher(self.name, self._order, self._watchers)

    @property
    def watches_list(self) -> bool:
        """Whether this daemon watches the list too."""
        return watches_list(self.name, self._order)

    @property
    def is_known(self) -> bool:
        """Whether a list with members of the own zone was seen."""
        return bool(self._order)

    def parents(self) -> list[str]:
        """Whom to follow, in the order in which to try."""
        if self.watches:
            return ring_parents_of(self.name, self._ring)
        return parents_of(self.name, self._order, self._watchers)

    def removal_rank(self, zone: str) -> int | None:
        """How many daemons come before this one in removing dead entries of `zone`; None if
        this one does not read the platform.
        """
        if not self.watches or self.name not in self._order:
            return None
        rank = self._order.index(self.name)
        return rank if zone == self._zone else self._watchers + rank

    def reorder(self, instances: Iterable[Instance]) -> None:
        """Work the place out from the present list, and set the events of what changed."""
        role_before = self._role()
        parents_before = self.parents()
        self._take_place(_members_of_zones(instances))
        if self._role() != role_before:
            self.role_changed.set()
        if self.role_changed.is_set() or self.parents() != parents_before:
            self.parents_changed.set()

    def _take_place(self, zones: dict[str, set[str]]) -> None:
        in_zone = zones.get(self._zone)
        if in_zone:
            # A daemon that is not listed yet takes the place that it will have.
            in_zone.add(self.name)
        # While no daemon of the zone is listed there is no order, and each reads the platform.
        self._order = relay_order(in_zone or ())
        is_placed_watcher = self.name in self._order[: self._watchers]
        self._ring = self._ring_of(zones) if is_placed_watcher else ()

    def _ring_of(self, zones: dict[str, set[str]]) -> tuple[str, ...]:
        orders = {zone: relay_order(names) for zone, names in zones.items()}
        return watcher_ring(orders, self._watchers)

    def _role(self) -> tuple[bool, bool]:
        return self.watches, self.watches_list


def _members_of_zones(instances: Iterable[Instance]) -> dict[str, set[str]]:
    """The names of the instances by zone."""
    zones: dict[str, set[str]] = {}
    for instance in instances:
        zones.setdefault(instance.zone, set()).add(instance.name)
    return zones
