"""Runs a daemon whose connections to other daemons come from its own loopback address.

The links before their ports can tell the daemons apart by it:
`python -m standins.sourceddaemon 127.0.0.2 --settings FILE`.
"""

import asyncio
import sys
from functools import partialmethod

from wheatslipd.main import main


def connect_from(address: str) -> None:
    """Make the connections of all event loops of this process come from an address."""
    connect = asyncio.BaseEventLoop.create_connection
    sourced = partialmethod(connect, local_addr=(address, 0))
    asyncio.BaseEventLoop.create_connection = sourced  # type: ignore[method-assign]


if __name__ == "__main__":
    connect_from(sys.argv.pop(1))
    main()
