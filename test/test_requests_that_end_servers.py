"""A request that ends each server that runs it must be held back from the other servers, and
requests of other callers must be served.
"""

import asyncio
from collections import Counter
from functools import partial

import pytest

from standins.cluster import HOST
from standins.ending import EndingServer
from standins.plainbackend import PlainBackend
from test.helper import Installation, bundle, run
from test.routed_fleet import fleet

NAMES = "abcd"
FATAL = "/view/fatal"
FATAL_POST = "/submit/fatal"
# Limits set by the platform's operators: time after the third end until all daemons must hold
# the request, and number of times that it may still reach a server after that.
HOLD_DELAY_SECONDS = 3.0
MAX_LATE_RUNS = 3
OBSERVATION_SECONDS = 2.0  # after that, while the request is still being sent
ALPHA_HEADERS = {"authorization": "Bearer alpha-secret", "wheatslip-service": "papers"}
FATAL_INTERVAL_SECONDS = 0.1
FREQUENT_INTERVAL_SECONDS = 0.01
SMALL_BODY = b"small"
LONG_BODY = b"long" * 50_000  # larger than the body buffer of an entry, so it is streamed


class Callers:
    """Sends the fatal request and others, to the entries in turn, until cancelled."""

    def __init__(self, send):
        """`send(name, path, method, body)` sends a request and returns the status."""
        self._send = send
        self._loop = asyncio.get_running_loop()
        # Lists of (time of sending, status); the time is that of the event loop.
        self.frequent = []  # of a GET that is sent a hundred times per second
        self.unique = []  # of GETs that are sent once each
        self.fatal = []
        self._sent_counts = Counter()  # by the id of the list
        self._tasks = []

    async def send_until_cancelled(self, method, path, body):
        turns = round(FATAL_INTERVAL_SECONDS / FREQUENT_INTERVAL_SECONDS)
        turn = 0
        while True:
            self._start(self.frequent, "/view/hot", "GET", b"")
            if turn % turns == 0:
                self._start(self.fatal, path, method, body)
                self._start(self.unique, f"/view/single-{turn}", "GET", b"")
            turn += 1
            await asyncio.sleep(FREQUENT_INTERVAL_SECONDS)

    async def wait_for_responses(self):
        await asyncio.gather(*self._tasks)

    def _start(self, results, path, method, body):
        # The requests of each list are sent to the entries in turn.
        name = NAMES[self._sent_counts[id(results)] % len(NAMES)]
        self._sent_counts[id(results)] += 1
        self._tasks.append(asyncio.create_task(self._record(results, name, path, method, body)))

    async def _record(self, results, name, path, method, body):
        sent_at = self._loop.time()
        results.append((sent_at, await self._send(name, path, method, body)))


async def assert_fatal_request_is_held(send, servers, daemons, method, path, body):
    """Send requests until some time after the third end. From then on the fatal request must
    not reach the servers, and others must be served. All daemons must hold exactly one request,
    although it was sent to each of them.
    """
    servers = list(servers)
    callers = Callers(send)
    sending = asyncio.create_task(callers.send_until_cancelled(method, path, body))
    async with asyncio.timeout(20):
        while sum(len(server.ends) for server in servers) < 3:
            await asyncio.sleep(0.01)
    third_end_at = sorted(at for server in servers for at in server.ends)[2]
    await asyncio.sleep(HOLD_DELAY_SECONDS + OBSERVATION_SECONDS)
    sending.cancel()
    await callers.wait_for_responses()
    run_times = sorted(at for server in servers for at in server.fatal_run_times)
    late_runs = [at for at in run_times if at > third_end_at + HOLD_DELAY_SECONDS]
    assert len(late_runs) <= MAX_LATE_RUNS, (
        f"{len(late_runs)} of {len(run_times)} runs were late, by "
        f"{[round(at - third_end_at - HOLD_DELAY_SECONDS, 2) for at in late_runs]} s"
    )
    hold_expected_at = third_end_at + HOLD_DELAY_SECONDS
    for results in (callers.frequent, callers.unique):
        statuses = [status for sent_at, status in results if sent_at > hold_expected_at]
        assert statuses and set(statuses) == {200}, statuses
    assert [len(daemon.status().held_requests) for daemon in daemons] == [1] * len(NAMES)


def in_chunks(body):
    """A body of unknown length, which is sent with chunked coding."""

    async def chunks():
        for begin in range(0, len(body), 10_000):
            yield body[begin : begin + 10_000]

    return chunks()


REQUESTS = [
    pytest.param("GET", FATAL, b"", id="get"),
    pytest.param("POST", FATAL_POST, SMALL_BODY, id="small post"),
    pytest.param("POST", FATAL_POST, LONG_BODY, id="streamed post"),
]


@pytest.mark.parametrize(("method", "path", "body"), REQUESTS)
def test_by_routes_it_is_kept_from_the_servers_and_other_requests_are_served(
    method, path, body
):
    async def scenario():
        servers = {}

        def make_backend(name):
            backend = PlainBackend(f"i-{name}", service=0.005)
            servers[name] = EndingServer(backend, {path})
            return backend

        async with fleet(*NAMES, make_backend=make_backend) as installation:
            for name, server in servers.items():
                server.on_restart = partial(register_under_new_id, installation, name, server)

            async def send(name, path, method, body):
                data = in_chunks(body) if body is LONG_BODY else body
                return (await installation.send_request(name, path, method, data))[0]

            await assert_fatal_request_is_held(
                send, servers.values(), installation.daemons.values(), method, path, body
            )

    run(scenario)


async def register_under_new_id(installation, name, server):
    """Register a restarted server by a heartbeat, under a new id as for each of its starts."""
    backend = installation.backends[name]
    backend.server_id = f"i-{name}-{len(server.ends)}"
    await installation.send_heartbeat(name, 1)


@pytest.mark.parametrize(("method", "path", "body"), REQUESTS)
def test_of_a_workspace_it_is_kept_from_the_servers_and_other_requests_are_served(
    tmp_path, method, path, body
):
    async def scenario():
        servers = []
        async with Installation(tmp_path) as installation:
            for name in NAMES:
                await installation.add(
                    name,
                    prepare_backend=lambda backend: servers.append(
                        EndingServer(backend, {path})
                    ),
                )
            await installation.release(bundle())
            await installation.ready()

            async def send(name, path, method, body):
                url = f"http://{HOST}:{installation.nodes[name].entry}{path}"
                data = in_chunks(body) if body is LONG_BODY else body
                async with installation.session.request(
                    method, url, data=data, headers=ALPHA_HEADERS
                ) as answer:
                    await answer.read()
                    return answer.status

            await assert_fatal_request_is_held(
                send, servers, installation.daemons.values(), method, path, body
            )

    run(scenario)
