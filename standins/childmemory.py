"""Memory of child processes: what they use themselves, and what their sockets hold.

A test machine's memory is bounded here by watching: a process that passes it is killed.
"""

import asyncio
import os
import signal
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

INTERVAL_SECONDS = 0.2
MEGABYTE = 1_000_000
_TCP_TABLE = Path("/proc/net/tcp")
_QUEUES_COLUMN, _INODE_COLUMN = 4, 9


@dataclass(slots=True)
class MemoryWatch:
    """Watches processes by name until `stop`; `peaks` are in megabytes."""

    limit_mb: float
    processes: dict[str, int]  # process ids by name
    peaks: dict[str, float] = field(default_factory=dict)
    killed: dict[str, float] = field(default_factory=dict)  # megabytes when it was killed
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        assert self._task is not None
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task

    async def _watch(self) -> None:
        while True:
            queues = socket_queues()
            for name, number in self.processes.items():
                if name not in self.killed:
                    self._check(name, number, queues)
            await asyncio.sleep(INTERVAL_SECONDS)

    def _check(self, name: str, number: int, queues: dict[str, int]) -> None:
        used = memory_of(number, queues) / MEGABYTE
        self.peaks[name] = max(used, self.peaks.get(name, 0.0))
        if used > self.limit_mb:
            self.killed[name] = used
            os.kill(number, signal.SIGKILL)


def socket_queues() -> dict[str, int]:
    """Bytes in the buffers of each TCP socket, by the name of its descriptor."""
    queues = {}
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        sending, _, received = columns[_QUEUES_COLUMN].partition(":")
        if columns[_INODE_COLUMN] != "0":
            name = f"socket:[{columns[_INODE_COLUMN]}]"
            queues[name] = int(sending, 16) + int(received, 16)
    return queues


def memory_of(process: int, queues: dict[str, int]) -> int:
    """Bytes that a process uses; 0 if it has ended."""
    folder = Path(f"/proc/{process}")
    try:
        resident_pages = int((folder / "statm").read_text().split()[1])
        descriptors = list((folder / "fd").iterdir())
    except (OSError, IndexError):
        return 0
    total = resident_pages * os.sysconf("SC_PAGE_SIZE")
    for descriptor in descriptors:
        with suppress(OSError):
            total += queues.get(os.readlink(descriptor), 0)
    return total
