"""The processes that a case has started and that have not ended."""

import os
import signal
from contextlib import suppress

_running: set[int] = set()


def add_process(number: int) -> None:
    """Remember a process by its id."""
    _running.add(number)


def forget_process(number: int) -> None:
    """The process has ended."""
    _running.discard(number)


def end_processes() -> None:
    """Kill the processes that are left."""
    for number in _running:
        with suppress(ProcessLookupError):
            os.kill(number, signal.SIGKILL)
    _running.clear()
