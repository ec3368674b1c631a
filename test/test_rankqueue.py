"""Order of a `FairQueue` with ranks, and with the common rank as before it had any."""

from collections import Counter
from random import Random

from wheatslip.admission import RANKED_URGENT_SHARE
from wheatslip.call import COMMON_RANK, Rank
from wheatslip.fairqueue import MAX_IDLE_RANKS, FairQueue

from test.one_rank_queue import OneRankQueue

RANKS = tuple(Rank(0, priority) for priority in range(5))


def filled_queue(*ranks, count=400, urgent_share=0.25):
    queue = FairQueue(urgent_share)
    for number in range(count):
        for rank in ranks:
            queue.push("a", number, rank, rank=rank)
    return queue


def test_with_the_common_rank_the_order_is_that_of_the_queue_without_ranks():
    """Deployments without credentials must be served as before."""
    for seed in range(30):
        rng = Random(seed)
        queues = [FairQueue(urgent_share=0.25), OneRankQueue(urgent_share=0.25)]
        for queue in queues:
            queue.shares = {"w0": 3.0, "w1": 0.7, "w2": 0.1}
        queued = []
        for number in range(1500):
            workspace = f"w{rng.randrange(12)}"
            is_urgent = rng.random() < 0.2
            deadline = rng.choice((1.0, 2.0, 3.0, number))
            match rng.choices(("push", "pop", "remove", "evict", "count"), (6, 3, 1, 1, 1))[0]:
                case "push":
                    queued.append((workspace, number))
                    results = [
                        queue.push(workspace, deadline, queued[-1], urgent=is_urgent)
                        for queue in queues
                    ]
                case "pop":
                    results = [queue.pop() for queue in queues]
                case "remove":
                    item = rng.choice(queued) if queued else (workspace, number)
                    results = [queue.remove(item[0], item) for queue in queues]
                case "evict":
                    results = [
                        (queue.evict_for(workspace), queue.take_evicted()) for queue in queues
                    ]
                case _:
                    results = [
                        (queue.count_ahead(workspace, urgent=is_urgent), list(queue))
                        for queue in queues
                    ]
            assert results[0] == results[1], f"seed {seed}, step {number}"
            assert len(queues[0]) == len(queues[1])


def test_the_lowest_rank_goes_first_and_the_workspaces_priority_before_the_routes():
    queue = FairQueue(urgent_share=0.25)
    for rank in (Rank(1, 0), Rank(0, 2), Rank(0, 0), Rank(0, 1)):
        queue.push("a", 1.0, rank, rank=rank)
    assert [queue.pop() for _ in range(4)] == [Rank(0, 0), Rank(0, 1), Rank(0, 2), Rank(1, 0)]


def test_ranks_behind_get_one_in_ten_starts_and_none_of_them_starves():
    queue = filled_queue(*RANKS, count=1000)
    starts = Counter(queue.pop() for _ in range(1000))
    assert starts[RANKS[0]] == 900
    behind = [starts[rank] for rank in RANKS[1:]]
    assert behind == sorted(behind, reverse=True) and behind[-1] >= 10


def test_a_rank_that_becomes_empty_now_and_then_does_not_keep_others_behind_from_starting():
    """The turns of the ranks behind must not depend on one of them always having items."""
    queue = filled_queue(RANKS[0], RANKS[3], count=1000)
    starts = Counter()
    for number in range(1000):
        if number % 7 == 0:
            queue.push("a", 0.0, RANKS[1], rank=RANKS[1])
        starts[queue.pop()] += 1
    assert starts[RANKS[3]] >= 30


def test_workspaces_of_one_rank_share_it_whatever_waits_in_other_ranks():
    queue = FairQueue(urgent_share=0.25)
    queue.shares = {"heavy": 3.0}
    for number in range(400):
        queue.push("heavy", number, "heavy")
        queue.push("light", number, "light")
        queue.push("light", number, "behind", rank=Rank(0, 1))
    starts = Counter(queue.pop() for _ in range(200))
    assert starts == {"heavy": 135, "light": 45, "behind": 20}


def test_urgent_items_get_up_to_three_quarters_where_calls_have_ranks():
    """A credit limit of two urgent items in a row would hold them to two thirds."""
    queue = filled_queue(RANKS[0], urgent_share=RANKED_URGENT_SHARE)
    for number in range(400):
        queue.push("a", number, "urgent", urgent=True)
    starts = Counter(queue.pop() for _ in range(200))
    assert 149 <= starts["urgent"] <= 151


def test_a_request_expects_to_wait_for_ranks_before_it_and_hardly_for_those_behind():
    queue = filled_queue(RANKS[1], count=20)
    assert queue.count_ahead("b", rank=RANKS[2]) == 20
    assert queue.count_ahead("b", rank=RANKS[1]) == 1
    assert queue.count_ahead("b", rank=RANKS[0]) == 0


def test_a_rank_that_rarely_starts_expects_a_longer_wait_than_for_what_waits_now():
    """Requests of the first rank that still arrive go before it too."""
    queue = filled_queue(RANKS[1], count=10)
    for _ in range(200):
        queue.push("a", 0.0, RANKS[0], rank=RANKS[0])
        queue.push("a", 0.0, RANKS[1], rank=RANKS[1])
        queue.pop()
        assert not queue.remove("a", "absent", rank=RANKS[1])
        if queue.count_ahead("a", rank=RANKS[1]) > 40:
            break
    assert queue.count_ahead("a", rank=RANKS[1]) > 40 > len(queue)


def test_many_ranks_do_not_remain_in_memory():
    """Other daemons may send any rank."""
    queue = FairQueue(urgent_share=0.25)
    for priority in range(10 * MAX_IDLE_RANKS):
        queue.push("a", 1.0, priority, rank=Rank(0, priority))
        assert queue.pop() == priority
    assert len(queue._ranks) <= MAX_IDLE_RANKS + 1


def test_removed_requests_leave_no_entries_in_the_order_of_workspaces():
    """Waits may time out for hours without any start."""
    queue = FairQueue(urgent_share=0.25)
    for number in range(5000):
        queue.push(f"w{number}", 1.0, number)
        assert queue.remove(f"w{number}", number)
    assert len(queue._ranks[COMMON_RANK]._order) <= 20
