"""Until when a watcher counts its list as confirmed."""

import asyncio
from types import SimpleNamespace

import pytest
from wheatslip.store.objects import Listing, StoredObject, Unavailable
from wheatslipd.feed.watching import ListWatch

LIST_WATCH_SECONDS = 20.0
CHANGE = Listing(2, (StoredObject("instance", "a", 2, b""),))
NO_CHANGE = Listing(1)


class Answers:
    """A platform whose answers take the named seconds; an `Unavailable` is no answer."""

    def __init__(self, *answers):
        self.answers = answers
        self.now = 0.0
        self.confirmed = []
        cache_writer = SimpleNamespace(
            cache=SimpleNamespace(listed=1),
            confirm_list=lambda: None,
            confirm_list_at=self.confirmed.append,
            apply_listing=lambda listing: None,
        )
        self.access = SimpleNamespace(
            settings=SimpleNamespace(list_watch=LIST_WATCH_SECONDS, list_pause=0.0),
            monotonic=lambda: self.now,
            cache_writer=cache_writer,
            changes=self.changes,
        )

    async def changes(self, kind, on_error, **options):
        for seconds, answer in self.answers:
            self.now += seconds
            if isinstance(answer, Unavailable):
                on_error(answer)
            else:
                yield answer

    def watch(self):
        asyncio.run(ListWatch(self.access)._follow())
        return self.confirmed


@pytest.mark.parametrize("answer", [CHANGE, NO_CHANGE])
def test_the_first_answer_counts_from_the_call(answer):
    """Guards against an answer that was under way while the process was frozen."""
    assert Answers((100.0, answer)).watch() == [0.0]


@pytest.mark.parametrize("answer", [CHANGE, NO_CHANGE])
def test_a_later_answer_counts_at_most_to_the_end_of_the_wait(answer):
    """Guards against a list lease that grows by the time of a freeze."""
    platform = Answers((0.0, NO_CHANGE), (5.0, answer), (100.0, answer))
    assert platform.watch() == [0.0, 5.0, 25.0]


def test_after_a_failure_the_next_answer_counts_from_the_call():
    """Guards against a watch that is answered at once but counts to the end of its wait."""
    failure = Unavailable("down", "GET")
    platform = Answers((0.0, NO_CHANGE), (5.0, failure), (100.0, NO_CHANGE))
    assert platform.watch() == [0.0, 5.0]
