"""Runs a case: its exit codes, and whether its disruption is left out."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.processes import end_processes
from review.record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
MAX_SECONDS = 115.0

Play = Callable[[Record, bool], Awaitable[bool]]


def run_case(folder: Path, play: Play) -> None:
    """Run `play`, which returns whether the rule held, and exit.

    Its second argument tells whether the disruption happens; `TROUBLE=0` leaves it out.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    code = COULD_NOT_RUN
    signal.signal(signal.SIGTERM, _stop)
    try:
        code = HELD if asyncio.run(_limited(play, record, has_trouble)) else BROKEN
    except (Exception, KeyboardInterrupt):
        record.add(traceback.format_exc())
        traceback.print_exc()
    finally:
        end_processes()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "not run")
    record.add(f"exit code {code}: {verdict}")
    record.close()
    print(f"exit code {code}: {verdict}")
    sys.exit(code)


def _stop(number: int, frame: object) -> None:
    """Stop once, so that the processes that were started are ended."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise KeyboardInterrupt


async def _limited(play: Play, record: Record, has_trouble: bool) -> bool:
    async with asyncio.timeout(MAX_SECONDS):
        return await play(record, has_trouble)
