"""Model test of the publisher with lost responses, delayed writes, restarts and removals.

The incarnation of the entry never decreases, an instance that is live again after leaving has a
new incarnation, and the entry is correct once the store works again.
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
STORE_MODES = ("well", "well", "lost", "away", "late")
MAX_STEPS = 20  # more than a publisher needs without faults


class OneEntryStore:
    """A store with one entry. `mode` determines the next call.

    well: it succeeds; lost: a write succeeds without a response; away: it fails; late: it
    fails, but a write can take effect later.
    """

    def __init__(self):
        self.mode = "well"
        self.version = 0
        self.last_version = 0
        self.entry: Instance | None = None
        self.delayed_writes: list[tuple[Instance, int]] = []

    def stored_object(self):
        if self.entry is None:
            return None
        return StoredObject(
            "instance", "a", self.version, value=msgspec.Raw(self._encoded_entry())
        )

    def _encoded_entry(self):
        return msgspec.json.encode(self.entry)

    def write(self, value, expected):
        if expected != (self.version if self.entry is not None else 0):
            return False
        self.last_version += 1
        self.version = self.last_version
        self.entry = value
        return True

    def remove(self):
        self.last_version += 1
        self.entry = None

    async def get(self, kind, name):
        if self.mode in ("away", "late"):
            return Err(Unavailable("away"))
        return Ok(self.stored_object())

    async def put(self, kind, name, value, expected):
        if self.mode == "late":
            self.delayed_writes.append((value, expected))
        if self.mode in ("away", "late"):
            return Err(Unavailable(self.mode))
        if not self.write(value, expected):
            return Err(Conflict(self.stored_object()))
        return Err(Unavailable("lost")) if self.mode == "lost" else Ok(self.stored_object())


def run_without_waiting(coroutine):
    """Return the result of a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine was suspended")


class PublisherMachine(RuleBasedStateMachine):
    """Publishers in succession, each for one start of the same daemon."""

    def __init__(self):
        super().__init__()
        self.store = OneEntryStore()
        self.desired = LIVE
        self.highest_incarnation = 0
        self.was_leaving = False
        self.previous_incarnation = 0  # of the entry at the last restart; 0: no entry
        self._start_publisher()

    def _start_publisher(self):
        self.publisher = Publisher(self.store, Random(1))
        self.publisher.publish(self.desired)

    @rule(leaves=st.booleans())
    def publish(self, leaves):
        self.desired = LEAVING if leaves else LIVE
        self.publisher.publish(self.desired)

    @rule(mode=st.sampled_from(STORE_MODES))
    def step(self, mode):
        self.store.mode = mode
        run_without_waiting(self.publisher._sync_once(self.desired))

    @rule()
    def apply_delayed_write(self):
        if self.store.delayed_writes:
            self.store.write(*self.store.delayed_writes.pop(0))

    @rule()
    def remove_entry(self):
        self.store.remove()
        self.previous_incarnation = 0

    @rule()
    def deliver_list(self):
        version = self.store.version if self.store.entry is not None else 0
        self.publisher.on_listed(self.store.entry, version)

    @rule()
    def restart(self):
        self.desired = LIVE
        self.previous_incarnation = self.store.entry.incarnation if self.store.entry else 0
        self._start_publisher()

    @rule()
    def recover(self):
        """Apply all delayed writes, deliver the list and let the store answer."""
        while self.store.delayed_writes:
            self.apply_delayed_write()
        self.store.mode = "well"
        self.deliver_list()
        for _ in range(MAX_STEPS):
            if run_without_waiting(self.publisher._sync_once(self.desired)):
                break
        entry = self.store.entry
        assert entry is not None
        assert entry.incarnation > self.previous_incarnation
        assert msgspec.structs.replace(entry, incarnation=0) == msgspec.structs.replace(
            self.desired, incarnation=0
        )

    @invariant()
    def check_incarnation(self):
        entry = self.store.entry
        if entry is None:
            self.highest_incarnation, self.was_leaving = 0, False  # a new entry may have any
            return
        assert entry.incarnation >= self.highest_incarnation
        if self.was_leaving and entry.state is InstanceState.LIVE:
            assert entry.incarnation > self.highest_incarnation
        self.highest_incarnation = entry.incarnation
        self.was_leaving = entry.state is InstanceState.LEAVING


TestPublisher = PublisherMachine.TestCase
TestPublisher.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)


def test_a_restart_whose_first_write_is_lost_uses_a_new_incarnation():
    machine = PublisherMachine()
    machine.recover()
    machine.restart()
    machine.step(mode="away")
    machine.recover()
