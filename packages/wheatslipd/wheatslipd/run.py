"""Runs one daemon in this process: event loop, signals and reloading of settings.

The command line is parsed in `main`, because an embedder starts a daemon without one.
"""

import asyncio
import gc
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

from result import Err, Ok

from wheatslipd import __version__
from wheatslipd.daemon import Adapters, Daemon
from wheatslipd.settings import Settings, load_settings
from wheatslipd.telemetry import logs

# Exit codes of the process, documented in docs/OPERATIONS.md; 0 is a planned stop.
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
GC_THRESHOLDS = (20_000, 20, 100)  # of generations 0, 1 and 2, see `gc.set_threshold`


def run_daemon(
    settings: Settings,
    path: Path,
    log: logs.KeyValueDestination,
    make_adapters: Callable[[Random], Adapters] = lambda rng: Adapters(),
) -> int:
    """Run a daemon on the event loop chosen in the settings; returns the exit code.

    `path` is the settings file, which SIGHUP reloads. `make_adapters` is called while the loop
    runs, with the daemon's seeded random generator.
    """
    seed = time.time_ns()
    logs.info("starting", version=__version__, seed=seed)

    async def main() -> int:
        if uses_io_uring():
            logs.error("io-uring-in-use", loop=settings.loop, remedy="set loop = asyncio")
            return EXIT_FAILED
        rng = Random(seed)
        daemon = Daemon(settings, rng, adapters=make_adapters(rng))
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.stop)
        loop.add_signal_handler(signal.SIGHUP, reload_settings, path, daemon, log)
        _tune_garbage_collection()
        return await daemon.run()

    if settings.loop == "asyncio":
        return asyncio.run(main())
    # libuv may use io_uring, which is forbidden on instances. It reads this variable when it
    # creates a loop.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.run(main())


def reload_settings(path: Path, daemon: Daemon, log: logs.KeyValueDestination) -> None:
    """Reload the settings; if the file has problems, log them and change nothing."""
    match load_settings(path):
        case Ok(settings):
            logs.set_level(log, settings.log_level)
            daemon.reload(settings)
        case Err(problems):
            for problem in problems:
                logs.error("settings-refused", problem=str(problem))


def _tune_garbage_collection() -> None:
    """Exempt the objects created at startup from garbage collection and collect less often.

    A full collection blocks the event loop, and with it all requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def uses_io_uring() -> bool:
    """Whether this process has an open io_uring, which is forbidden on instances."""
    folder = Path("/proc/self/fd")
    if not folder.exists():
        return False
    return any("io_uring" in _read_link(link) for link in folder.iterdir())


def _read_link(link: Path) -> str:
    try:
        return os.readlink(link)
    except OSError:  # closed since the directory was listed
        return ""
