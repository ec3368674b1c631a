"""The key ledger: no key runs twice, even after an eviction, a restart or a new owner."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from wheatslip.ledger import RECORD_SECONDS, KeptAnswer, KeyLedger, KeyState, key_time
from wheatslip.owners import DAEMON_CLOCK_SKEW_SECONDS, OWNER_LEASE_SECONDS, OwnerHistory, owner

from standins.caller import make_key


class LedgerMachine(RuleBasedStateMachine):
    """A small ledger that is restarted and evicts records, and the set of keys that ran."""

    def __init__(self):
        super().__init__()
        self.now = 10_000.0
        self.rng = Random(5)
        self.ledger = KeyLedger(self.now, max_records=5)
        self.keys = []
        self.ran = set()

    @rule(skew=st.floats(-2.0, 2.0))
    def create_key(self, skew):
        self.keys.append(make_key(self.rng, self.now + skew))

    @rule(index=st.integers(0, 50), outcome=st.sampled_from(["answered", "lost", "refused"]))
    def send(self, index, outcome):
        if not self.keys:
            return
        key = self.keys[index % len(self.keys)]
        if self.ledger.claim("w", key, 0.0, self.now).state is not KeyState.FRESH:
            return
        if outcome == "refused":
            self.ledger.not_run("w", key)
            return
        assert key not in self.ran
        self.ran.add(key)
        self.ledger.done("w", key, KeptAnswer(200) if outcome == "answered" else None)

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0, RECORD_SECONDS]))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def restart(self):
        self.ledger = KeyLedger(self.now, max_records=5)


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(max_examples=200, derandomize=True, deadline=None)


def test_key_contains_its_creation_time():
    assert abs(key_time(make_key(Random(1), 1234.5)) - 1234.5) < 0.001
    assert key_time("not a key") is None
    assert key_time("c232ab00-9414-11ec-b3c8-9f6bdeced846") is None


def test_first_answer_is_kept_and_workspaces_have_separate_keys():
    ledger = KeyLedger(0.0)
    key = make_key(Random(1), 100.0)
    assert ledger.claim("a", key, 0.0, 100.0).state is KeyState.FRESH
    assert ledger.claim("a", key, 0.0, 100.0).state is KeyState.RUNNING
    ledger.done("a", key, KeptAnswer(200, [], b"first"))
    assert ledger.claim("a", key, 0.0, 100.0).answer.body == b"first"
    assert ledger.claim("b", key, 0.0, 100.0).state is KeyState.FRESH


def test_new_owner_does_not_run_a_key_older_than_its_ownership():
    ledger = KeyLedger(0.0)
    key = make_key(Random(1), 100.0)
    assert ledger.claim("a", key, owned_since=101.0, now=102.0).state is KeyState.TOO_OLD


def rank_owners(key, members):
    """The members in the order in which they own `key` as the preceding ones leave."""
    ranked, rest = [], list(members)
    while rest:
        ranked.append(owner(key, rest))
        rest.remove(ranked[-1])
    return ranked


def test_a_leaving_member_moves_only_its_own_keys():
    members = [f"papers-{i}" for i in range(6)]
    keys = [f"key-{i}" for i in range(300)]
    for key in keys:
        before = rank_owners(key, members)
        after = owner(key, [m for m in members if m != "papers-3"])
        assert after == next(m for m in before if m != "papers-3")


def test_new_owner_waits_until_the_lease_of_a_frozen_owner_has_expired():
    key = next(f"k{i}" for i in range(100) if owner(f"k{i}", ["a", "b"]) == "a")
    frozen, successor = OwnerHistory(), OwnerHistory()
    for history in (frozen, successor):
        history.change(["a", "b"], 100.0)
    successor.change(["b"], 200.0)
    # The frozen owner read the list just before its own removal, and its clock is slow.
    lease_end = 200.0 + DAEMON_CLOCK_SKEW_SECONDS + OWNER_LEASE_SECONDS
    assert not frozen.is_lease_held(checked=200.0, now=lease_end)
    assert successor.exclusive_since(key, "b") >= lease_end
    assert successor.exclusive_since(key, "a") is None


def test_owned_since_is_the_start_of_uninterrupted_ownership():
    history = OwnerHistory()
    key = next(f"k{i}" for i in range(100) if owner(f"k{i}", ["a", "b"]) == "b")
    history.change(["a"], 1.0)
    assert history.owned_since(key, "b") is None
    history.change(["a", "b"], 2.0)
    history.change(["a", "b", "c"], 3.0)
    if owner(key, ["a", "b", "c"]) == "b":
        assert history.owned_since(key, "b") == 2.0
    assert history.owned_since(key, "a") is None
