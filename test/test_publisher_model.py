"""The publisher explored: answers lost, writes that take effect late, new starts, removals.

Whatever the course: the entry never goes back to an incarnation before, a return after leaving
is a new incarnation, and once calm the entry is what it should be.
"""

from random import Random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok
from wheatslip.store.instances import Instance, InstanceState
from wheatslip.store.objects import Conflict, StoredObject, Unavailable
from wheatslipd.registration.publisher import Publisher

LIVE = Instance("a", "papers", "one", "10.0.0.1", 1, 2, 3)
LEAVING = msgspec.structs.replace(LIVE, state=InstanceState.LEAVING)
MODES = ("well", "well", "lost", "away", "late")
MANY_STEPS = 20  # more than a publisher needs in calm


class OneEntryStore:
    """A store with one entry. `mode` says what becomes of the next call."""

    def __init__(self):
        self.mode = "well"
        self.version = 0
        self.clock = 0
        self.entry: Instance | None = None
        self.late: list[tuple[Instance, int]] = []

    def found(self):
        if self.entry is None:
            return None
        return StoredObject("instance", "a", self.version, value=msgspec.Raw(self._encoded()))

    def _encoded(self):
        return msgspec.json.encode(self.entry)

    def write(self, value, expected):
        if expected != (self.version if self.entry is not None else 0):
            return False
        self.clock += 1
        self.version = self.clock
        self.entry = value
        return True

    def remove(self):
        self.clock += 1
        self.entry = None

    async def get(self, kind, name):
        if self.mode in ("away", "late"):
            return Err(Unavailable("away"))
        return Ok(self.found())

    async def put(self, kind, name, value, expected):
        if self.mode == "late":
            self.late.append((value, expected))
        if self.mode in ("away", "late"):
            return Err(Unavailable(self.mode))
        if not self.write(value, expected):
            return Err(Conflict(self.found()))
        return Err(Unavailable("lost")) if self.mode == "lost" else Ok(self.found())


def finish(coroutine):
    """The result of a coroutine that never waits for anything."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("it waits")


class PublisherMachine(RuleBasedStateMachine):
    """One publisher after the other, each a life of the same daemon."""

    def __init__(self):
        super().__init__()
        self.store = OneEntryStore()
        self.wanted = LIVE
        self.highest = 0
        self.has_left = False
        self.life_before = 0  # its incarnation, unless its entry was removed
        self._begin()

    def _begin(self):
        self.publisher = Publisher(self.store, Random(1))
        self.publisher.publish(self.wanted)

    @rule(leaves=st.booleans())
    def publish(self, leaves):
        self.wanted = LEAVING if leaves else LIVE
        self.publisher.publish(self.wanted)

    @rule(mode=st.sampled_from(MODES))
    def step(self, mode):
        self.store.mode = mode
        finish(self.publisher._sync_once(self.wanted))

    @rule()
    def a_late_write_arrives(self):
        if self.store.late:
            self.store.write(*self.store.late.pop(0))

    @rule()
    def someone_removes_the_entry(self):
        self.store.remove()
        self.life_before = 0

    @rule()
    def the_list_is_seen(self):
        version = self.store.version if self.store.entry is not None else 0
        self.publisher.on_listed(self.store.entry, version)

    @rule()
    def start_anew(self):
        self.wanted = LIVE
        self.life_before = self.store.entry.incarnation if self.store.entry else 0
        self._begin()

    @rule()
    def calm_down(self):
        """What is late has come, the list is seen, and the store is well."""
        while self.store.late:
            self.a_late_write_arrives()
        self.store.mode = "well"
        self.the_list_is_seen()
        for _ in range(MANY_STEPS):
            if finish(self.publisher._sync_once(self.wanted)):
                break
        entry = self.store.entry
        assert entry is not None
        assert entry.incarnation > self.life_before
        assert msgspec.structs.replace(entry, incarnation=0) == msgspec.structs.replace(
            self.wanted, incarnation=0
        )

    @invariant()
    def a_return_is_a_new_incarnation(self):
        entry = self.store.entry
        if entry is None:
            self.highest, self.has_left = 0, False  # nothing is left to go on from
            return
        assert entry.incarnation >= self.highest
        if self.has_left and entry.state is InstanceState.LIVE:
            assert entry.incarnation > self.highest
        self.highest = entry.incarnation
        self.has_left = entry.state is InstanceState.LEAVING


TestPublisher = PublisherMachine.TestCase
TestPublisher.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
