"""Detection of the end of a backend server, as opposed to reset or refused connections."""

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


class DetectorSetup:
    """The end detector of one gate, for a server at a port that may refuse connections."""

    def __init__(self, port):
        loop = asyncio.get_running_loop()
        gate = Gate(Admission(AdmissionSettings()), View(), loop.time, is_probed=True)
        backend = Backend(HOST, port, 10, 0.25)
        self.bus = Bus()
        self.detector = ServerEndDetector(
            backend, gate, self.bus, Metrics("a", "one"), loop.time
        )
        self.gate = gate

    def begin_run(self, fingerprint):
        new_run = Run(fingerprint, "papers", "view")
        self.detector.exposure.begin(new_run)
        return new_run


async def closed_port():
    server = await asyncio.start_server(lambda *streams: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


def test_a_server_that_does_not_listen_and_lost_all_its_requests_has_ended():
    async def scenario():
        setup = DetectorSetup(await closed_port())
        broken_run = setup.begin_run("f")
        setup.detector.exposure.broken(broken_run, asyncio.get_running_loop().time())
        assert await setup.detector.has_server_ended()
        assert setup.gate.admission.closures.active
        assert len(setup.bus) == 1

    run(scenario)


def test_a_server_that_refuses_connections_while_a_request_runs_has_not_ended():
    async def scenario():
        setup = DetectorSetup(await closed_port())
        broken_run, other_run = setup.begin_run("f"), setup.begin_run("g")
        now = asyncio.get_running_loop().time()
        setup.detector.exposure.broken(broken_run, now)
        assert not await setup.detector.has_server_ended()
        assert not setup.gate.admission.closures.active and len(setup.bus) == 0
        # The last connection breaks too: the server has ended while both requests ran.
        setup.detector.exposure.broken(other_run, now)
        assert await setup.detector.has_server_ended() and len(setup.bus) == 1

    run(scenario)


def test_a_server_that_resets_connections_but_listens_has_not_ended():
    async def scenario():
        backend = PlainBackend("i-a", fault=ServerFault.RESET)
        async with fleet("a", make_backend=lambda name: backend) as installation:
            for _ in range(6):
                assert (await installation.send_request("a"))[2][
                    "wheatslip-outcome"
                ] != "not-run; ends-servers"
            status = installation.daemons["a"].status()
            assert status.suspects == 0 and status.held_requests == ()

    run(scenario)


def test_an_announced_end_makes_no_request_a_suspect():
    async def scenario():
        setup = DetectorSetup(await closed_port())
        setup.gate.on_server_leaving()
        broken_run = setup.begin_run("f")
        setup.detector.exposure.broken(broken_run, asyncio.get_running_loop().time())
        assert await setup.detector.has_server_ended()
        assert len(setup.bus) == 0

    run(scenario)
