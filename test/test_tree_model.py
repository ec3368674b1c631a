"""Model test of the relay tree and the watcher ring: updates must reach every daemon.

Daemons die, restart and are removed from the list, and the platform accepts only some of them.
In one step each daemon reads from its first living parent. A watcher, or a daemon whose parents
are all dead, also reads from the platform if accepted there.

Without further events, every daemon has the newest version after as many steps as the ring and
the tree are long, provided that a living watcher is accepted. The only exceptions are a daemon
that is not accepted while its list contains only dead parents, and the daemons that follow it.
"""

import itertools
from dataclasses import dataclass, field
from random import Random

import pytest
from wheatslip.distribution.relaytree import (
    WATCHERS,
    is_watcher,
    parents_of,
    relay_order,
    ring_parents_of,
    watcher_ring,
)

SEED_COUNT = 200
EVENTS_PER_SEED = 30  # before the fleet converges


def depth_of(order):
    """Steps along first parents from the last member of a zone to a watcher."""
    depth = 0
    name = order[-1] if order else ""
    while parents := parents_of(name, order):
        name = parents[0]
        depth += 1
    return depth


@dataclass
class Fleet:
    """Daemons by zone; all have the same list."""

    zones: dict[str, list[str]]
    alive: set[str] = field(init=False)
    listed: set[str] = field(init=False)
    accepted: set[str] = field(init=False)
    versions: dict[str, int] = field(init=False)
    newest: int = 1

    def __post_init__(self):
        self.names = [name for members in self.zones.values() for name in members]
        self.alive = set(self.names)
        self.listed = set(self.names)
        self.accepted = set(self.names)
        self.versions = dict.fromkeys(self.names, 0)
        self.rebuild_orders()

    def rebuild_orders(self):
        self.orders = {
            zone: relay_order(name for name in members if name in self.listed)
            for zone, members in self.zones.items()
        }
        self.ring = watcher_ring(self.orders)
        self.parents = {}
        self.watchers = set()
        for order in self.orders.values():
            for name in order:
                is_zone_watcher = is_watcher(name, order)
                if is_zone_watcher:
                    self.watchers.add(name)
                ring = ring_parents_of(name, self.ring)
                self.parents[name] = ring if is_zone_watcher else parents_of(name, order)

    @property
    def steps_to_converge(self):
        return len(self.ring) + max(depth_of(order) for order in self.orders.values()) + 1

    def living_parent(self, name):
        return next((p for p in self.parents[name] if p in self.alive), None)

    def step(self):
        before = dict(self.versions)
        for name in self.alive & self.listed:
            parent = self.living_parent(name)
            reads_platform = name in self.watchers or parent is None
            available = [before[name]]
            if parent is not None:
                available.append(before[parent])
            if reads_platform and name in self.accepted:
                available.append(self.newest)
            self.versions[name] = max(available)

    def converge(self):
        for _ in range(self.steps_to_converge):
            self.step()

    def check_versions(self):
        """Checks the versions after `converge`; returns how many daemons lack the newest."""
        if not self.watchers & self.alive & self.accepted:
            return 0
        stranded = 0
        for name in self.alive & self.listed:
            if self.versions[name] == self.newest:
                continue
            ancestor = name
            while (
                parent := self.living_parent(ancestor)
            ) is not None and ancestor not in self.watchers:
                ancestor = parent
            assert ancestor not in self.watchers and ancestor not in self.accepted
            stranded += 1
        return stranded

    def kill(self, name):
        self.alive.discard(name)
        self.versions[name] = 0  # daemons store nothing

    def restart(self, name):
        self.alive.add(name)
        self.listed.add(name)
        self.rebuild_orders()

    def unlist_dead(self):
        self.listed &= self.alive
        self.rebuild_orders()


def test_two_small_zones_converge_from_every_state():
    zones = {"one": ["a", "b", "c", "d"], "two": ["e", "f", "g"]}
    names = [name for members in zones.values() for name in members]
    fleet = Fleet(zones)
    subsets = [
        set(subset) for size in range(8) for subset in itertools.combinations(names, size)
    ]
    for fleet.alive, fleet.accepted in itertools.product(subsets, subsets):
        fleet.versions = dict.fromkeys(names, 0)
        fleet.converge()
        fleet.check_versions()


def test_zone_without_accepted_watchers_gets_no_updates_without_the_ring():
    """`check_versions` must detect the failure that the ring prevents."""
    fleet = Fleet({"one": ["a", "b", "c"], "two": ["d", "e", "f"]})
    for name in fleet.watchers:
        fleet.parents[name] = []
    fleet.accepted -= fleet.watchers & {"a", "b", "c"}
    fleet.converge()
    with pytest.raises(AssertionError):
        fleet.check_versions()


def run_random_events(fleet, random):
    """Random events; no daemon may return to an older version while it is alive."""
    for _ in range(EVENTS_PER_SEED):
        name = random.choice(fleet.names)
        event = random.randrange(7)
        if event == 0:
            fleet.kill(name)
        elif event == 1:
            fleet.restart(name)
        elif event == 2:
            fleet.unlist_dead()
        elif event == 3:
            fleet.accepted.discard(name)
        elif event == 4:
            fleet.accepted = {n for n in fleet.names if random.random() < random.random()}
        elif event == 5:
            fleet.newest += 1
        before = dict(fleet.versions)
        fleet.step()
        assert all(fleet.versions[n] >= before[n] for n in fleet.alive)


@pytest.mark.parametrize(("daemons", "zones"), [(60, 3), (200, 5)])
def test_newest_version_reaches_all_daemons_after_any_events(daemons, zones):
    for seed in range(SEED_COUNT):
        random = Random(seed)
        members = {
            f"zone-{z}": [f"{z}-{n}" for n in range(daemons // zones)] for z in range(zones)
        }
        fleet = Fleet(members)
        run_random_events(fleet, random)
        fleet.newest += 1
        fleet.converge()
        fleet.check_versions()
        fleet.unlist_dead()
        fleet.converge()
        assert fleet.check_versions() == 0, seed


def test_two_watchers_of_a_zone_are_neighbours_in_the_ring():
    fleet = Fleet({"one": ["a", "b", "c"], "two": ["d", "e", "f"]})
    assert len(fleet.ring) == 2 * WATCHERS
    for order in fleet.orders.values():
        assert ring_parents_of(order[1], fleet.ring)[0] == order[0]
