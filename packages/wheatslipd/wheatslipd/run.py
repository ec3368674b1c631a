"""Runs one daemon in this process: its loop, its signals, its settings when they change.

The command line is read in `main`, as an embedder starts a daemon without one.
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

# Exit codes of the process, as docs/OPERATIONS.md has them; 0 is a planned stop.
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
# The garbage collector's thresholds: new objects before the youngest generation is collected,
# and collections of a generation before the next one is.
COLLECT_AFTER = (20_000, 20, 100)


def run_daemon(
    settings: Settings,
    path: Path,
    log: logs.KeyValueDestination,
    make_adapters: Callable[[Random], Adapters] = lambda rng: Adapters(),
) -> int:
    """Run a daemon on the loop that the settings name; returns the exit code.

    `path` is the settings file, read again on SIGHUP. `make_adapters` is called with the loop
    running, and with the daemon's seeded generator.
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
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, daemon.stop)
        loop.add_signal_handler(signal.SIGHUP, reload_settings, path, daemon, log)
        _spare_collector()
        return await daemon.run()

    if settings.loop == "asyncio":
        return asyncio.run(main())
    # libuv may use io_uring, which instances forbid; it reads this when its loop is made.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.run(main())


def reload_settings(path: Path, daemon: Daemon, log: logs.KeyValueDestination) -> None:
    """Read the settings again; a file with problems changes nothing."""
    match load_settings(path):
        case Ok(settings):
            logs.set_level(log, settings.log_level)
            daemon.reload(settings)
        case Err(problems):
            for problem in problems:
                logs.error("settings-refused", problem=str(problem))


def _spare_collector() -> None:
    """Exempt what was loaded at the start from garbage collection, and collect less often: a
    full collection stops all requests for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECT_AFTER)


def uses_io_uring() -> bool:
    """Whether this process holds an io_uring, which instances forbid."""
    folder = Path("/proc/self/fd")
    if not folder.exists():
        return False
    return any("io_uring" in _target(link) for link in folder.iterdir())


def _target(link: Path) -> str:
    try:
        return os.readlink(link)
    except OSError:  # it was closed in between
        return ""
