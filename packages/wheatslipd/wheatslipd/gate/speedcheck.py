"""One question at a time to a backend server's health endpoint: how fast, and how cold are you?

Whoever wants to know while a question is on its way shares its answer. There is a bound on
the questions of any second, and one that gets no answer is not repeated for a while.
"""

import asyncio
from collections.abc import Callable

from wheatslip.backendload import decode_backend_load
from wheatslip.slidinglimit import SlidingLimit

from wheatslipd.gate.backend import Backend
from wheatslipd.gate.gate import Gate
from wheatslipd.gate.health import ask_health, cold_remaining
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics

TIMEOUT = 0.2  # seconds; the endpoint answers in a few milliseconds, or is in trouble
# Seconds that a request waits for the answer: some times what an answer takes, and little
# beside what a slow start would cost. The question itself goes on.
PATIENCE = 0.02
# Seconds without questions by requests after one that got no answer in time.
UNANSWERED_PAUSE = 0.5


class SpeedCheck:
    """Asks one backend server for its load, and lets its gate know."""

    def __init__(
        self,
        backend: Backend,
        names: HeaderNames,
        metrics: Metrics,
        clock: Callable[[], float],
        limit: SlidingLimit,
    ):
        """`names` has those of the load and of coldness in the endpoint's answer."""
        self._backend = backend
        self._names = names
        self._metrics = metrics
        self._clock = clock
        self._limit = limit
        self._path = ""
        self._question: asyncio.Task[bool] | None = None
        self._paused_until = float("-inf")
        self.has_path = asyncio.Event()

    def use_path(self, path: str) -> None:
        """Take the path of the health endpoint; empty: it has none, so nothing is asked."""
        self._path = path
        if path:
            self.has_path.set()
        else:
            self.has_path.clear()

    async def ask(self, gate: Gate) -> None:
        """Ask for `gate`, or wait for the answer to a question that is on its way already."""
        question = self._begin(gate)
        if question is not None:
            await asyncio.shield(question)

    async def ask_briefly(self, gate: Gate) -> None:
        """The same on behalf of a request, which waits no longer than `PATIENCE`."""
        if self._clock() < self._paused_until:
            return
        question = self._begin(gate)
        if question is None:
            return
        done, _ = await asyncio.wait((question,), timeout=PATIENCE)
        if not done or not question.result():
            self._paused_until = self._clock() + UNANSWERED_PAUSE
            logs.info("speed-check-unanswered", waited=PATIENCE, repeat_key="speed-check")

    def _begin(self, gate: Gate) -> asyncio.Task[bool] | None:
        """The question on its way, a new one if there is none; None if none may be asked."""
        if self._question is not None and not self._question.done():
            return self._question
        if not self._path:
            return None
        if not self._limit.take(self._clock()):
            logs.info("speed-check-over-limit", repeat_key="speed-check-limit")
            return None
        self._question = asyncio.get_running_loop().create_task(self._ask(gate))
        return self._question

    async def _ask(self, gate: Gate) -> bool:
        """Ask once; whether the server answered."""
        self._metrics.probes.inc({})
        found = await ask_health(self._backend, self._path, TIMEOUT)
        if found is None:
            return False
        gate.on_answer()
        remaining = cold_remaining(found, self._names.cold)
        if remaining is not None:
            gate.learn_cold(remaining)
        load = decode_backend_load(found.get(self._names.load) or b"")
        if load is not None:
            gate.learn(load)
        else:
            # It told nothing, so nothing is known: work finds out.
            gate.forget_slowness()
        return True
