"""The stand-in caller must not report a request that it has sent as not run."""

import asyncio
from random import Random

from standins.caller import Caller, Reported
from standins.cluster import HOST, caller_session
from test.helper import run


def test_request_lost_on_a_reused_connection_is_unknown_and_not_resent():
    """As with a killed daemon: it has read the request and accepts no new connection."""

    async def scenario():
        received = []

        async def serve(reader, writer):
            while line := await reader.readuntil(b"\r\n\r\n"):
                received.append(line)
                if len(received) > 1:
                    server.close()
                    writer.transport.abort()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with caller_session() as session:
            caller = Caller(session, "alpha", "secret", Random(1))
            await caller.send(port, "papers", "view", once=False)
            lost = await caller.send(port, "papers", "view", once=False)
        assert len(received) == 2
        assert lost.reported is Reported.UNKNOWN

    run(scenario)
