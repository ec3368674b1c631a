"""Model test of the copies of the instance list: none goes back, and all converge.

Updates may be lost, delayed or duplicated. Daemons restart, and the platform may discard its
history. Each follower may also watch the platform itself and be followed by the watcher.
"""

from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from wheatslip.distribution import feedcache
from wheatslip.distribution.feedcache import FeedCache, ListChange, Update
from wheatslip.store.instances import Instance, InstanceState

NAMES = ("a", "b", "c")
FOLLOWERS = (1, 2)  # cache indexes; each may follow the watcher (0) or an earlier one


def make_instance(name, incarnation, state=InstanceState.LIVE):
    return Instance(name, "papers", "one", "10.0.0.1", 1, 2, 3, incarnation, state)


def apply_update(cache, update):
    """Applies the list in an update as a daemon does."""
    if (update.whole or update.changes) and not cache.is_outdated(update):
        cache.apply_list(update.listed, update.changes, whole=update.whole)


class FeedMachine(RuleBasedStateMachine):
    """The platform's list, and a chain of copies of it."""

    def __init__(self):
        super().__init__()
        # So few that copies discard changes that others still request.
        self.limit_patch = mock.patch.object(feedcache, "MAX_LIST_CHANGES", 3)
        self.limit_patch.start()
        self.version = 1
        self.platform_list: dict[str, Instance] = {}
        self.history: list[ListChange] = []
        self.caches = [FeedCache() for _ in range(1 + len(FOLLOWERS))]
        self.updates_in_flight: list[tuple[int, Update]] = []
        self.saved_lists: list[tuple[int, list[ListChange]]] = []  # for stale reads
        self.last_versions = [0] * len(self.caches)
        self.answers_in_flight: list[tuple[int, int, list[ListChange]]] = []  # to watches

    def teardown(self):
        self.limit_patch.stop()

    def _whole_list(self):
        return [ListChange(i.incarnation, n, i) for n, i in self.platform_list.items()]

    @rule()
    def save_list(self):
        self.saved_lists.append((self.version, self._whole_list()))

    @rule(number=st.sampled_from((0, *FOLLOWERS)), index=st.integers(0, 9))
    def read_stale(self, number, index):
        """Like `Feed`, ignores a list that is older than the copy."""
        if not self.saved_lists:
            return
        version, whole_list = self.saved_lists[index % len(self.saved_lists)]
        if version >= self.caches[number].listed:
            self.caches[number].apply_list(version, whole_list, whole=True)

    @rule(name=st.sampled_from(NAMES), is_leaving=st.booleans())
    def write_instance(self, name, is_leaving):
        self.version += 1
        state = InstanceState.LEAVING if is_leaving else InstanceState.LIVE
        self.platform_list[name] = make_instance(name, self.version, state)
        self.history.append(ListChange(self.version, name, self.platform_list[name]))

    @rule(name=st.sampled_from(NAMES), follower=st.sampled_from(FOLLOWERS))
    def send_new_instance(self, name, follower):
        self.write_instance(name, False)
        self.watcher_reads_changes()
        self.request_update(follower, follower)

    @rule(name=st.sampled_from(NAMES))
    def remove_instance(self, name):
        if self.platform_list.pop(name, None) is not None:
            self.version += 1
            self.history.append(ListChange(self.version, name, None))

    @rule()
    def discard_history(self):
        self.history.clear()

    @rule()
    def watcher_reads_list(self):
        self.caches[0].apply_list(self.version, self._whole_list(), whole=True)

    @rule()
    def watcher_reads_changes(self):
        cache = self.caches[0]
        first = self.history[0].version if self.history else self.version + 1
        if not cache.listed or first > cache.listed + 1:
            self.watcher_reads_list()
            return
        changes = [c for c in self.history if c.version > cache.listed]
        cache.apply_list(self.version, changes, whole=False)

    @rule(follower=st.sampled_from(FOLLOWERS), distance=st.integers(1, 3))
    def request_update(self, follower, distance):
        parent = self.caches[max(0, follower - distance)]
        update = parent.since(self.caches[follower].cursor("f"))
        self.updates_in_flight.append((follower, update))

    @rule(number=st.sampled_from((0, *FOLLOWERS)), distance=st.integers(0, 4))
    def answer_watch(self, number, distance):
        """Answers a watch that began up to `distance` versions before the current copy."""
        since = max(0, self.caches[number].listed - distance)
        first = self.history[0].version if self.history else self.version + 1
        if since and first <= since + 1:
            changes = [c for c in self.history if c.version > since]
            self.answers_in_flight.append((number, self.version, changes))

    @rule(index=st.integers(0, 9))
    def deliver_watch_answer(self, index):
        """Like `Feed`, ignores an answer that is older than the copy."""
        if not self.answers_in_flight:
            return
        number, version, changes = self.answers_in_flight.pop(
            index % len(self.answers_in_flight)
        )
        if version >= self.caches[number].listed:
            self.caches[number].apply_list(version, changes, whole=False)

    @rule(follower=st.sampled_from(FOLLOWERS))
    def watcher_requests_update(self, follower):
        update = self.caches[follower].since(self.caches[0].cursor("w"))
        self.updates_in_flight.append((0, update))

    @rule(index=st.integers(0, 9))
    def deliver(self, index):
        if self.updates_in_flight:
            follower, update = self.updates_in_flight.pop(index % len(self.updates_in_flight))
            apply_update(self.caches[follower], update)

    @rule(index=st.integers(0, 9))
    def deliver_duplicate(self, index):
        if self.updates_in_flight:
            follower, update = self.updates_in_flight[index % len(self.updates_in_flight)]
            apply_update(self.caches[follower], update)

    @rule(index=st.integers(0, 9))
    def lose_update(self, index):
        if self.updates_in_flight:
            self.updates_in_flight.pop(index % len(self.updates_in_flight))

    @rule(number=st.sampled_from((0, *FOLLOWERS)))
    def restart(self, number):
        self.caches[number] = FeedCache()
        self.last_versions[number] = 0
        # Messages to the previous process are lost with its connections.
        self.updates_in_flight = [
            message for message in self.updates_in_flight if message[0] != number
        ]
        self.answers_in_flight = [
            message for message in self.answers_in_flight if message[0] != number
        ]

    @rule()
    def converge(self):
        """All copies read once, in order of the chain; messages in flight are not delivered."""
        self.watcher_reads_changes()
        for follower in FOLLOWERS:
            for parent in range(follower):
                cursor = self.caches[follower].cursor("f")
                apply_update(self.caches[follower], self.caches[parent].since(cursor))
        for cache in self.caches:
            assert cache.instances == self.platform_list

    @invariant()
    def no_copy_goes_back(self):
        for number, cache in enumerate(self.caches):
            assert cache.listed >= self.last_versions[number]
            self.last_versions[number] = cache.listed


TestFeed = FeedMachine.TestCase
TestFeed.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
