"""The copies of the list, explored: a platform, a watcher and followers that lose messages.

Updates may be lost, come late, or come twice; daemons start anew; the platform may forget its
history; each may watch the platform itself while it follows others, and be followed by the
watcher. Whatever the course, no copy goes back, and once calm all hold what the platform holds.
"""

from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from wheatslip.distribution import feedcache
from wheatslip.distribution.feedcache import FeedCache, ListChange, Update
from wheatslip.store.instances import Instance, InstanceState

NAMES = ("a", "b", "c")
FOLLOWERS = (1, 2)  # each may follow the watcher, 0, or one before it


def instance(name, incarnation, state=InstanceState.LIVE):
    return Instance(name, "papers", "one", "10.0.0.1", 1, 2, 3, incarnation, state)


def take(cache, update):
    """What a daemon does with the list in an update."""
    if (update.whole or update.changes) and not cache.is_outdated(update):
        cache.apply_list(update.listed, update.changes, whole=update.whole)


class FeedMachine(RuleBasedStateMachine):
    """The platform's list, and a chain of copies of it."""

    def __init__(self):
        super().__init__()
        # Few, so that copies forget changes that others still ask for.
        self.kept = mock.patch.object(feedcache, "MAX_LIST_CHANGES", 3)
        self.kept.start()
        self.version = 1
        self.truth: dict[str, Instance] = {}
        self.history: list[ListChange] = []
        self.caches = [FeedCache() for _ in range(1 + len(FOLLOWERS))]
        self.on_the_way: list[tuple[int, Update]] = []
        self.states: list[tuple[int, list[ListChange]]] = []  # that stale reads may see
        self.seen = [0] * len(self.caches)
        self.watched: list[tuple[int, int, list[ListChange]]] = []  # answers on their way

    def teardown(self):
        self.kept.stop()

    def _everything(self):
        return [ListChange(i.incarnation, n, i) for n, i in self.truth.items()]

    @rule()
    def keep_state(self):
        self.states.append((self.version, self._everything()))

    @rule(number=st.sampled_from((0, *FOLLOWERS)), index=st.integers(0, 9))
    def read_stale(self, number, index):
        """What `Feed` does with a stale list: one from before its own copy is left alone."""
        if not self.states:
            return
        version, everything = self.states[index % len(self.states)]
        if version >= self.caches[number].listed:
            self.caches[number].apply_list(version, everything, whole=True)

    @rule(name=st.sampled_from(NAMES), leaves=st.booleans())
    def write(self, name, leaves):
        self.version += 1
        state = InstanceState.LEAVING if leaves else InstanceState.LIVE
        self.truth[name] = instance(name, self.version, state)
        self.history.append(ListChange(self.version, name, self.truth[name]))

    @rule(name=st.sampled_from(NAMES), follower=st.sampled_from(FOLLOWERS))
    def news_on_its_way(self, name, follower):
        self.write(name, False)
        self.watcher_reads_changes()
        self.ask(follower, follower)

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        if self.truth.pop(name, None) is not None:
            self.version += 1
            self.history.append(ListChange(self.version, name, None))

    @rule()
    def forget_history(self):
        self.history.clear()

    @rule()
    def watcher_reads_the_whole(self):
        self.caches[0].apply_list(self.version, self._everything(), whole=True)

    @rule()
    def watcher_reads_changes(self):
        cache = self.caches[0]
        first = self.history[0].version if self.history else self.version + 1
        if not cache.listed or first > cache.listed + 1:
            self.watcher_reads_the_whole()
            return
        changes = [c for c in self.history if c.version > cache.listed]
        cache.apply_list(self.version, changes, whole=False)

    @rule(follower=st.sampled_from(FOLLOWERS), back=st.integers(1, 3))
    def ask(self, follower, back):
        parent = self.caches[max(0, follower - back)]
        update = parent.since(self.caches[follower].cursor("f"))
        self.on_the_way.append((follower, update))

    @rule(number=st.sampled_from((0, *FOLLOWERS)), back=st.integers(0, 4))
    def watch_answers(self, number, back):
        """A watch that began up to `back` versions before what others have brought since."""
        since = max(0, self.caches[number].listed - back)
        first = self.history[0].version if self.history else self.version + 1
        if since and first <= since + 1:
            changes = [c for c in self.history if c.version > since]
            self.watched.append((number, self.version, changes))

    @rule(index=st.integers(0, 9))
    def take_watched(self, index):
        """What `Feed` does with the answer: one from before its own copy is left alone."""
        if not self.watched:
            return
        number, version, changes = self.watched.pop(index % len(self.watched))
        if version >= self.caches[number].listed:
            self.caches[number].apply_list(version, changes, whole=False)

    @rule(follower=st.sampled_from(FOLLOWERS))
    def watcher_asks(self, follower):
        update = self.caches[follower].since(self.caches[0].cursor("w"))
        self.on_the_way.append((0, update))

    @rule(index=st.integers(0, 9))
    def deliver(self, index):
        if self.on_the_way:
            follower, update = self.on_the_way.pop(index % len(self.on_the_way))
            take(self.caches[follower], update)

    @rule(index=st.integers(0, 9))
    def deliver_and_keep(self, index):
        if self.on_the_way:
            follower, update = self.on_the_way[index % len(self.on_the_way)]
            take(self.caches[follower], update)

    @rule(index=st.integers(0, 9))
    def lose(self, index):
        if self.on_the_way:
            self.on_the_way.pop(index % len(self.on_the_way))

    @rule(number=st.sampled_from((0, *FOLLOWERS)))
    def start_anew(self, number):
        self.caches[number] = FeedCache()
        self.seen[number] = 0
        # What was on its way to the life before ends with its connections.
        self.on_the_way = [one for one in self.on_the_way if one[0] != number]
        self.watched = [one for one in self.watched if one[0] != number]

    @rule()
    def calm_down(self):
        """All read once, in order of the chain; what is on its way stays so."""
        self.watcher_reads_changes()
        for follower in FOLLOWERS:
            for parent in range(follower):
                cursor = self.caches[follower].cursor("f")
                take(self.caches[follower], self.caches[parent].since(cursor))
        for cache in self.caches:
            assert cache.instances == self.truth

    @invariant()
    def no_copy_goes_back(self):
        for number, cache in enumerate(self.caches):
            assert cache.listed >= self.seen[number]
            self.seen[number] = cache.listed


TestFeed = FeedMachine.TestCase
TestFeed.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
