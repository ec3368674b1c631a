"""Finds out whether a port accepts connections."""

import asyncio

from wheatslipd.timeouts import reply_timeout


async def check_connection(address: str, port: int, seconds: float, waits_for: str) -> None:
    """Connect, and close the connection at once.

    Raises ConnectionRefusedError if no process listens there, another OSError or TimeoutError
    if there was no connection within `seconds`. `waits_for` is that of `reply_timeout`.
    """
    loop = asyncio.get_running_loop()
    async with reply_timeout(seconds, waits_for):
        transport, _ = await loop.create_connection(asyncio.Protocol, address, port)
    transport.abort()
