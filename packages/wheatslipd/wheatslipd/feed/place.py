"""This daemon's place in the relay tree: whether it reads the platform, and whom it follows."""

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
    """The place by the present list. Two events tell the tasks of a change."""

    def __init__(self, name: str, zone: str, watchers: int):
        """`watchers` daemons of each zone read the platform."""
        self.name = name
        self._zone = zone
        self._watchers = watchers
        self._order: list[str] = []
        self._ring: tuple[str, ...] = ()  # known to watchers only
        self.role_changed = asyncio.Event()
        self.parents_changed = asyncio.Event()

    @property
    def watches(self) -> bool:
        """Whether this daemon reads the platform for others."""
        return is_watcher(self.name, self._order, self._watchers)

    @property
    def watches_list(self) -> bool:
        """Whether it watches the list there too."""
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
        """How many daemons are to remove dead entries of `zone` before this one; None if it
        does not read the platform.
        """
        if not self.watches or self.name not in self._order:
            return None
        place = self._order.index(self.name)
        return place if zone == self._zone else self._watchers + place

    def reorder(self, instances: Iterable[Instance]) -> None:
        """Take the present list for the tree; a changed place ends the present role."""
        zones: dict[str, set[str]] = {}
        for instance in instances:
            zones.setdefault(instance.zone, set()).add(instance.name)
        in_zone = zones.get(self._zone)
        if in_zone:
            # One that is not listed yet takes the place that it will have.
            in_zone.add(self.name)
        role_before = self._role()
        parents_before = self.parents()
        self._order = relay_order(in_zone or ())
        # Where all of this zone is new there is no order yet, and all read.
        is_placed = self.name in self._order[: self._watchers]
        self._ring = self._ring_of(zones) if is_placed else ()
        if self._role() != role_before:
            self.role_changed.set()
        if self.role_changed.is_set() or self.parents() != parents_before:
            self.parents_changed.set()

    def _ring_of(self, zones: dict[str, set[str]]) -> tuple[str, ...]:
        orders = {zone: relay_order(names) for zone, names in zones.items()}
        return watcher_ring(orders, self._watchers)

    def _role(self) -> tuple[bool, bool]:
        return self.watches, self.watches_list
