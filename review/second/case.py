"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.second.machines import Deployment

MAX_SECONDS = 112.0
HOST = "hulo84.example"  # of all routes of the cases
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Play = Callable[[Deployment, bool], Awaitable[bool]]


def run(folder: Path, play: Play) -> None:
    """Play a case, write `record.txt` into its folder, and exit.

    `play` gets the deployment, and whether to cause the disruption; it returns whether the rule
    held.
    """
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: Path, play: Play) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment()
    deployment.note("begin", trouble=int(has_trouble), time=int(time.time()))
    result = COULD_NOT_RUN
    try:
        async with asyncio.timeout(MAX_SECONDS):
            result = HELD if await play(deployment, has_trouble) else BROKEN
    except Exception as error:
        traceback.print_exc()
        deployment.note("could-not-run", error=repr(error))
    finally:
        deployment.note("end", result=result)
        await deployment.end(folder / "record.txt")
    print("\n".join(deployment.lines[-12:]))
    return result
