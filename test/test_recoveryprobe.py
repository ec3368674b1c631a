"""The questions to a backend server whose answers don't tell how fast it is."""

import asyncio
from contextlib import suppress

from wheatslip.admission import Admission, AdmissionSettings
from wheatslipd.gate import Gate
from wheatslipd.metrics import Metrics
from wheatslipd.recoveryprobe import RecoveryProbe
from wheatslipd.view import View

from test.helper import run

TURNS = 50  # of the event loop; a task that has something to do does it in fewer


class AskedBackend:
    """A backend server that keeps the heads it is sent, and never answers."""

    def __init__(self):
        self.heads = []
        self.asked = asyncio.Event()

    async def send(self, head, body, echo=None):
        self.heads.append(head)
        self.asked.set()
        await asyncio.Event().wait()


def probe(gate, backend):
    clock = asyncio.get_running_loop().time
    return RecoveryProbe(gate, backend, b"load-report", Metrics("a", "one"), clock, 0.05)


async def doubted(path):
    """A running probe of a server in doubt; the probe, its server and its task."""
    gate = Gate(Admission(AdmissionSettings()), View(), asyncio.get_running_loop().time)
    backend = AskedBackend()
    asking = probe(gate, backend)
    asking.use_path(path)
    gate.in_doubt.set()
    task = asyncio.create_task(asking.run())
    for _ in range(TURNS):
        await asyncio.sleep(0)
    return asking, backend, task


async def stop(task):
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


def test_nothing_is_asked_before_the_path_of_the_health_endpoint_is_known():
    async def scenario():
        asking, backend, task = await doubted("")
        assert not backend.heads
        asking.use_path("/health")
        await asyncio.wait_for(backend.asked.wait(), 5.0)
        assert backend.heads[0].target == b"/health"
        await stop(task)

    run(scenario)


def test_a_server_in_doubt_is_asked_how_fast_it_is():
    async def scenario():
        _, backend, task = await doubted("/health")
        await asyncio.wait_for(backend.asked.wait(), 5.0)
        await stop(task)

    run(scenario)
