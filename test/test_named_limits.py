"""Daemons keep the rate of requests at a backend server within the limit that it names."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

from standins.plainbackend import PlainBackend
from test.helper import run
from test.routed_fleet import fleet

WINDOW_SECONDS = 4.0
LIMIT_TOLERANCE = 1.5  # of the named rate, over a window
LIMIT_SLACK = 5  # requests in a window, beside the tolerance
RATE = 2.5  # requests per second that a server names
ENOUGH_SECONDS = 5.0  # longer than a window
SETTINGS = {"extra_header_settings": "limit = Server-Limit\nleaving = Server-Leaving"}
SERVICE_SECONDS = 0.01
SEND_RATE = 90  # requests per second, over all daemons


@asynccontextmanager
async def limited_fleet(*names, **options):
    """Daemons that read the two headers, with equally fast servers."""

    def make_backend(name):
        return PlainBackend(f"i-{name}", service=SERVICE_SECONDS)

    async with fleet(*names, make_backend=make_backend, **SETTINGS, **options) as cluster:
        yield cluster


def name_limit(backend, value=str(RATE)):
    backend.extra_headers = [(b"server-limit", value.encode())]


def allowed(rate, seconds=WINDOW_SECONDS):
    return LIMIT_TOLERANCE * rate * seconds + LIMIT_SLACK


def most_in_a_window(times, seconds=WINDOW_SECONDS):
    """The most arrivals in any window of this length."""
    times = sorted(times)
    return max(
        (sum(1 for other in times if at <= other < at + seconds) for at in times), default=0
    )


@dataclass
class Answer:
    status: int
    seconds: float


async def send(cluster, name, answers):
    loop = asyncio.get_running_loop()
    started = loop.time()
    status, _, _ = await cluster.send_request(name)
    answers.append(Answer(status, loop.time() - started))


async def send_steadily(cluster, seconds, *, rate=SEND_RATE, skip=()):
    """Send requests to the running daemons in turn, without awaiting answers."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    pending, answers, number = [], [], 0
    while loop.time() < end:
        names = [name for name in sorted(cluster.daemons) if name not in skip]
        number += 1
        name = names[number % len(names)]
        pending.append(asyncio.create_task(send(cluster, name, answers)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*pending, return_exceptions=True)
    return answers


def test_limited_server_got_its_full_share():
    async def scenario():
        async with limited_fleet("a", "b", "c") as cluster:
            name_limit(cluster.backends["a"])
            await send_steadily(cluster, 0.5)
            cluster.backends["a"].arrivals.clear()
            answers = await send_steadily(cluster, ENOUGH_SECONDS)
            arrivals = cluster.backends["a"].arrivals
            assert 0 < most_in_a_window(arrivals) <= allowed(RATE)
            assert {answer.status for answer in answers} == {200}

    run(scenario)


def test_limited_server_got_its_full_share_after_a_restart_of_its_daemon():
    async def scenario():
        async with limited_fleet("a", "b", "c") as cluster:
            name_limit(cluster.backends["a"])
            await send_steadily(cluster, 0.5)
            cluster.backends["a"].arrivals.clear()
            load = asyncio.create_task(send_steadily(cluster, ENOUGH_SECONDS, skip=("a",)))
            await asyncio.sleep(1.0)
            await cluster.stop("a")
            await cluster.start("a")
            await load
            assert most_in_a_window(cluster.backends["a"].arrivals) <= allowed(RATE)

    run(scenario)


def test_server_that_said_it_leaves_got_requests():
    async def scenario():
        async with limited_fleet("a", "b") as cluster:
            leaving = cluster.backends["a"]
            await cluster.send_heartbeat("a", 1)
            leaving.extra_headers = [(b"server-leaving", b"1")]
            await send_steadily(cluster, 0.5)
            assert leaving.arrivals
            leaving.arrivals.clear()
            await cluster.send_heartbeat("a", 2)
            answers = await send_steadily(cluster, 0.5)
            assert leaving.arrivals == []
            assert {answer.status for answer in answers} == {200}

    run(scenario)


def test_next_start_of_a_server_that_left_gets_requests():
    async def scenario():
        async with limited_fleet("a", "b") as cluster:
            backend = cluster.backends["a"]
            await cluster.send_heartbeat("a", 1)
            backend.extra_headers = [(b"server-leaving", b"1")]
            await send_steadily(cluster, 0.5)
            backend.server_id = "i-next"
            backend.extra_headers = []
            backend.arrivals.clear()
            await cluster.send_heartbeat("a", 1)
            await send_steadily(cluster, 3.0)
            assert backend.arrivals

    run(scenario)


def test_server_that_left_got_requests_after_a_restart_of_its_daemon():
    async def scenario():
        async with limited_fleet("a", "b") as cluster:
            leaving = cluster.backends["a"]
            leaving.extra_headers = [(b"server-leaving", b"1")]
            await send_steadily(cluster, 0.5, skip=("a",))
            assert leaving.arrivals
            await cluster.stop("a")
            leaving.arrivals.clear()
            leaving.extra_headers = []  # the daemon does not hear it again
            await cluster.start("a")
            await cluster.ready()
            await cluster.send_heartbeat("a", 1)
            await send_steadily(cluster, 1.0, skip=("a",))
            assert leaving.arrivals == []

    run(scenario)


def test_server_that_left_got_requests_through_a_daemon_that_does_not_read_it():
    async def scenario():
        async with limited_fleet("b") as cluster:
            cluster.extra_header_settings = ""
            await cluster.add("a")
            await cluster.ready()
            leaving = cluster.backends["a"]
            leaving.extra_headers = [(b"server-leaving", b"1")]
            await send_steadily(cluster, 0.5, skip=("a",))
            assert leaving.arrivals
            leaving.arrivals.clear()
            await send_steadily(cluster, 0.5, skip=("a",))
            assert leaving.arrivals == []

    run(scenario)
