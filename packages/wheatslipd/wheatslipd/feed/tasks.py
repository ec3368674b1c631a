"""Runs coroutines concurrently until the first one completes."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

Outcome = TypeVar("Outcome")


async def run_until_first_completes(
    *jobs: Coroutine[Any, Any, Outcome],
) -> list[Outcome | None]:
    """Run jobs until the first one completes, then cancel the others and wait for them.

    Returns the results in the order of the jobs, with None for each cancelled job. Raises the
    exception of the completed job, if any.
    """
    tasks = [asyncio.ensure_future(job) for job in jobs]
    try:
        completed, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return [task.result() if task in completed else None for task in tasks]
