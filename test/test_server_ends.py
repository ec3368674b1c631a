"""When a backend server counts as ended: not when it resets or refuses some connections."""

import asyncio

from wheatslip.admission import Admission, AdmissionSettings
from wheatslip.runtracker import Run
from wheatslipd.controllers.bus import Bus
from wheatslipd.controllers.view import View
from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.serverend import ServerEndDetector
from wheatslipd.telemetry.metrics import Metrics

from standins.cluster import HOST
from standins.plainbackend import PlainBackend, ServerFault
from test.helper import run
from test.routed_fleet import fleet


class Place:
    """The server ends of one gate whose server's address refuses connections, or not."""

    def __init__(self, port):
        loop = asyncio.get_running_loop()
        gate = Gate(Admission(AdmissionSettings()), View(), loop.time, is_probed=True)
        backend = Backend(HOST, port, 10, 0.25)
        self.bus = Bus()
        self.ends = ServerEndDetector(backend, gate, self.bus, Metrics("a", "one"), loop.time)
        self.gate = gate

    def begin(self, name):
        one = Run(name, "papers", "view")
        self.ends.exposure.begin(one)
        return one


async def closed_port():
    server = await asyncio.start_server(lambda *streams: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def test_a_server_that_listens_no_more_and_lost_all_its_requests_has_ended():
    async def scenario():
        place = Place(await closed_port())
        one = place.begin("f")
        place.ends.exposure.broken(one, asyncio.get_running_loop().time())
        assert await place.ends.has_server_ended()
        assert place.gate.admission.closures.active
        assert len(place.bus) == 1

    run(scenario)


def test_a_server_that_refuses_connections_while_it_works_has_not_ended():
    async def scenario():
        place = Place(await closed_port())
        broken, running = place.begin("f"), place.begin("g")
        now = asyncio.get_running_loop().time()
        place.ends.exposure.broken(broken, now)
        assert not await place.ends.has_server_ended()
        assert not place.gate.admission.closures.active and len(place.bus) == 0
        # The last one breaks too: now it has ended, and both ran there.
        place.ends.exposure.broken(running, now)
        assert await place.ends.has_server_ended() and len(place.bus) == 1

    run(scenario)


def test_a_server_that_resets_connections_and_listens_has_not_ended():
    async def scenario():
        backend = PlainBackend("i-a", fault=ServerFault.RESET)
        async with fleet("a", make_backend=lambda name: backend) as one:
            for _ in range(6):
                assert (await one.ask("a"))[2]["wheatslip-outcome"] != "not-run; ends-servers"
            status = one.daemons["a"].status()
            assert status.suspects == 0 and status.held_requests == ()

    run(scenario)


def test_an_end_that_was_announced_is_held_against_nobody():
    async def scenario():
        place = Place(await closed_port())
        place.gate.on_server_leaving()
        one = place.begin("f")
        place.ends.exposure.broken(one, asyncio.get_running_loop().time())
        assert await place.ends.has_server_ended()
        assert len(place.bus) == 0

    run(scenario)
