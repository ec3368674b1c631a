"""The tree and the ring of control data, explored: daemons die and return, are listed and
dropped, and the platform lets some in and turns others away.

A step: each daemon takes what its first living parent has, one that watches what the platform
tells if it is let in, and one whose parents are all dead likewise. Whatever came before, after
as many calm steps as the ring and the tree are long every daemon has the newest version, if any
living watcher is let in. Only a daemon whose parents are all dead while the platform turns it
away may lack it: its list still shows the dead.
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

SEEDS = 200
COURSE = 30  # events before it is calm


def depth_of(order):
    """Steps from the last member of a zone by first parents to a watcher."""
    depth = 0
    name = order[-1] if order else ""
    while parents := parents_of(name, order):
        name = parents[0]
        depth += 1
    return depth


@dataclass
class Fleet:
    """Daemons by zone; all know the same list."""

    zones: dict[str, list[str]]
    alive: set[str] = field(init=False)
    listed: set[str] = field(init=False)
    let_in: set[str] = field(init=False)
    versions: dict[str, int] = field(init=False)
    newest: int = 1

    def __post_init__(self):
        self.names = [name for members in self.zones.values() for name in members]
        self.alive = set(self.names)
        self.listed = set(self.names)
        self.let_in = set(self.names)
        self.versions = dict.fromkeys(self.names, 0)
        self.order_anew()

    def order_anew(self):
        self.orders = {
            zone: relay_order(name for name in members if name in self.listed)
            for zone, members in self.zones.items()
        }
        self.ring = watcher_ring(self.orders)
        self.parents = {}
        self.watchers = set()
        for order in self.orders.values():
            for name in order:
                watches = is_watcher(name, order)
                if watches:
                    self.watchers.add(name)
                ring = ring_parents_of(name, self.ring)
                self.parents[name] = ring if watches else parents_of(name, order)

    @property
    def calm_steps(self):
        return len(self.ring) + max(depth_of(order) for order in self.orders.values()) + 1

    def living_parent(self, name):
        return next((p for p in self.parents[name] if p in self.alive), None)

    def step(self):
        before = dict(self.versions)
        for name in self.alive & self.listed:
            parent = self.living_parent(name)
            reads = name in self.watchers or parent is None
            seen = [before[name]]
            if parent is not None:
                seen.append(before[parent])
            if reads and name in self.let_in:
                seen.append(self.newest)
            self.versions[name] = max(seen)

    def calm_down(self):
        for _ in range(self.calm_steps):
            self.step()

    def check(self):
        """What must hold once it is calm; how many were stranded."""
        if not self.watchers & self.alive & self.let_in:
            return 0
        stranded = 0
        for name in self.alive & self.listed:
            if self.versions[name] == self.newest:
                continue
            top = name
            while (parent := self.living_parent(top)) is not None and top not in self.watchers:
                top = parent
            assert top not in self.watchers and top not in self.let_in
            stranded += 1
        return stranded

    def kill(self, name):
        self.alive.discard(name)
        self.versions[name] = 0  # nothing outlasts a process

    def come_back(self, name):
        self.alive.add(name)
        self.listed.add(name)
        self.order_anew()

    def drop_dead(self):
        self.listed &= self.alive
        self.order_anew()


def test_every_state_of_two_small_zones():
    zones = {"one": ["a", "b", "c", "d"], "two": ["e", "f", "g"]}
    names = [name for members in zones.values() for name in members]
    fleet = Fleet(zones)
    subsets = [
        set(subset) for size in range(8) for subset in itertools.combinations(names, size)
    ]
    for fleet.alive, fleet.let_in in itertools.product(subsets, subsets):
        fleet.versions = dict.fromkeys(names, 0)
        fleet.calm_down()
        fleet.check()


def test_without_the_ring_a_zone_that_is_turned_away_hears_nothing():
    """The check notices: this is what the ring is for."""
    fleet = Fleet({"one": ["a", "b", "c"], "two": ["d", "e", "f"]})
    for name in fleet.watchers:
        fleet.parents[name] = []
    fleet.let_in -= fleet.watchers & {"a", "b", "c"}
    fleet.calm_down()
    with pytest.raises(AssertionError):
        fleet.check()


def course(fleet, random):
    """Events at random; no daemon goes back within a life."""
    for _ in range(COURSE):
        name = random.choice(fleet.names)
        event = random.randrange(7)
        if event == 0:
            fleet.kill(name)
        elif event == 1:
            fleet.come_back(name)
        elif event == 2:
            fleet.drop_dead()
        elif event == 3:
            fleet.let_in.discard(name)
        elif event == 4:
            fleet.let_in = {n for n in fleet.names if random.random() < random.random()}
        elif event == 5:
            fleet.newest += 1
        before = dict(fleet.versions)
        fleet.step()
        assert all(fleet.versions[n] >= before[n] for n in fleet.alive)


@pytest.mark.parametrize(("daemons", "zones"), [(60, 3), (200, 5)])
def test_any_course_of_events_ends_with_the_newest_everywhere(daemons, zones):
    for seed in range(SEEDS):
        random = Random(seed)
        members = {
            f"zone-{z}": [f"{z}-{n}" for n in range(daemons // zones)] for z in range(zones)
        }
        fleet = Fleet(members)
        course(fleet, random)
        fleet.newest += 1
        fleet.calm_down()
        fleet.check()
        fleet.drop_dead()
        fleet.calm_down()
        assert fleet.check() == 0, seed


def test_two_watchers_a_zone_stand_side_by_side_in_the_ring():
    fleet = Fleet({"one": ["a", "b", "c"], "two": ["d", "e", "f"]})
    assert len(fleet.ring) == 2 * WATCHERS
    for order in fleet.orders.values():
        assert ring_parents_of(order[1], fleet.ring)[0] == order[0]
