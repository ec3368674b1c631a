"""Runs jobs side by side where the end of one ends the others."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Outcome = TypeVar("Outcome")


async def until_first_ends(*jobs: Coroutine[Any, Any, Outcome]) -> list[Outcome | None]:
    """Run jobs until the first one ends, cancel the others, and wait for their ends.

    Returns the outcomes in the order of the jobs, None for a job that was cancelled. Raises
    what the job that ended raised.
    """
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        ended, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return [task.result() if task in ended else None for task in tasks]
