"""The gate of the local backend server: carries out what its `Admission` decides.

It lets requests wait for their start, closes and opens by what happens to the server and its
zone, and hands on what the server reports of itself. `needs_probe` is set while the server's
state has to be found out by probes: it is slow, lost, or has just come.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wheatslip.admission import Admission, ClosedBy, Ticket
from wheatslip.admission.slowserver import is_probe_due
from wheatslip.backendload import BackendLoad
from wheatslip.call import Call
from wheatslip.hop import LoadReport
from wheatslip.outcome import NotRun
from wheatslip.retryafter import (
    EVICTED,
    FASTER_ELSEWHERE,
    LOST_WHILE_WAITING,
)

from wheatslipd.controllers.view import View
from wheatslipd.settings import LogLevel
from wheatslipd.telemetry import logs

# Requests in a row that find no connection, or lose it before the answer, after which the
# server counts as lost. With one, a single broken connection would close the gate; with more,
# requests that may not run twice are spent on a server that is gone.
LOST_IN_A_ROW = 2


@dataclass(frozen=True, slots=True)
class SpeedProbing:
    """How a gate finds out before a request starts whether its server is slow now."""

    probe: Callable[["Gate"], Awaitable[None]]  # lets the gate know, in bounded time
    price: float  # of one probe, as a part of what an answer within its target is worth


class Gate:
    """Owns the admission of one backend server."""

    def __init__(
        self,
        admission: Admission,
        view: View,
        clock: Callable[[], float],
        *,
        closed_by: tuple[ClosedBy, ...] = (),
        is_probed: bool = False,
        probing: SpeedProbing | None = None,
    ):
        """`closed_by`: the reasons to be closed that hold from the start. `is_probed`: someone
        probes the server while `needs_probe` is set; without that a lost server is not noted:
        nothing would open the gate again. `probing` None: no request waits for a probe.
        """
        self.admission = admission
        for reason in closed_by:
            admission.closures.add(reason)
        self._view = view
        self._clock = clock
        self.needs_probe = asyncio.Event()
        self._is_probed = is_probed
        self._probing = probing
        self._lost_in_a_row = 0
        self.load_reported_at = float("-inf")
        self._waiting: dict[Ticket, asyncio.Future[NotRun | None]] = {}
        self._next_cold_start: asyncio.TimerHandle | None = None

    async def enter(self, call: Call, max_wait: float) -> Ticket | NotRun:
        """Wait for the start; the ticket that comes back has started and must be left with."""
        now = self._clock()
        probing = self._probing
        if probing and self.admission.gain_of_probing(call, now) > probing.price:
            await probing.probe(self)
            now = self._clock()
        ticket = self.admission.arrive(call, now, max_wait)
        self._refuse_evicted()
        if isinstance(ticket, NotRun) or ticket.started is not None:
            return ticket
        return await self._wait(ticket, now)

    def leave(self, ticket: Ticket, *, worked: bool) -> None:
        """A started request has ended; `worked`: the backend server answered it."""
        if logs.is_enabled(LogLevel.DEBUG):
            self._log_run(ticket, worked)
        started = self.admission.finish(ticket, self._clock(), worked=worked)
        self._wake(started)

    def report(self) -> LoadReport:
        """The load now, to ride on an answer."""
        admission = self.admission
        now = self._clock()
        return LoadReport(
            in_flight=admission.in_flight,
            queued=admission.queued,
            limit=admission.reported_limit(now),
            service=round(admission.timing.usual_service_time(now), 4),
            version=self._view.version,
            leaving=self.is_closed_by(ClosedBy.SERVER_LEAVES),
            slowness=round(admission.timing.slowness, 2),
        )

    def is_closed_by(self, reason: ClosedBy) -> bool:
        """Whether this reason to be closed holds, perhaps beside others."""
        return reason in self.admission.closures.active

    def server_replaced(self) -> None:
        """The server answered that it is not the registered one: nothing more is sent until a
        heartbeat says which server it is. It would turn each request away, and each would be
        paid for as a retry.
        """
        if not self.is_closed_by(ClosedBy.SERVER_UNKNOWN):
            logs.info("backend-replaced", in_flight=self.admission.in_flight)
            self._close(ClosedBy.SERVER_UNKNOWN)

    def server_leaves(self) -> None:
        """Refuse new work from now on; what waits is refused too, as it has not run."""
        self._close(ClosedBy.SERVER_LEAVES)

    def server_stays(self) -> None:
        """The server is known, and does not leave: take new work again."""
        self.admission.closures.remove(ClosedBy.SERVER_UNKNOWN)
        self.admission.closures.remove(ClosedBy.SERVER_LEAVES)

    def zone_drained(self) -> None:
        """Nothing new may reach the server; what runs ends by itself."""
        self.admission.closures.remove(ClosedBy.ZONE_UNKNOWN)
        self._close(ClosedBy.ZONE_DRAINED)

    def zone_not_drained(self) -> None:
        """The zone drains are read for the first time, and the zone is not among them."""
        self.admission.closures.remove(ClosedBy.ZONE_UNKNOWN)

    def zone_restored(self) -> None:
        """The zone is not drained any more. The server may have turned cold meanwhile, so it
        gets no more than a cold server bears until it is probed.
        """
        self.admission.closures.remove(ClosedBy.ZONE_DRAINED)
        self.admission.cold.assume_cold(self._clock())
        self.needs_probe.set()

    def on_lost(self) -> None:
        """The backend server could not be reached, or broke off before its answer.

        After `LOST_IN_A_ROW` of them nothing more is sent until it answers a probe: each
        request sent might be one that may not run twice.
        """
        if not self._is_probed:
            return
        self._lost_in_a_row += 1
        if self._lost_in_a_row >= LOST_IN_A_ROW:
            self._close_as_lost()

    def on_ended(self) -> None:
        """Nothing listens at the server's address: nothing is sent until it answers a probe."""
        if self._is_probed:
            self._close_as_lost()

    def _close_as_lost(self) -> None:
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            return
        logs.warning("backend-lost", in_flight=self.admission.in_flight)
        self.admission.closures.add(ClosedBy.SERVER_LOST)
        self.needs_probe.set()
        # Not `ClosedBy.refusal`: what waits here is given a shorter time than an arrival.
        self._refuse_waiting(LOST_WHILE_WAITING)

    def on_answer(self) -> None:
        """The backend server answered, whatever it was."""
        self._lost_in_a_row = 0
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            logs.info("backend-back")
            self.admission.closures.remove(ClosedBy.SERVER_LOST)
            # It may have crashed and come back cold; its answer to a probe clears this.
            self.admission.cold.assume_cold(self._clock())
            self.assume_usual_speed()

    def learn(self, load: BackendLoad) -> None:
        """The backend server reports its load."""
        if load.slowness != self.admission.timing.slowness and logs.is_enabled(LogLevel.DEBUG):
            logs.debug(
                "slowness",
                now=load.slowness,
                before=self.admission.timing.slowness,
                in_flight=self.admission.in_flight,
                queued=self.admission.queued,
                running=load.running,
                waiting=load.waiting,
            )
        self.load_reported_at = self._clock()
        self.admission.timing.learn_speed(load.slowness, self.load_reported_at)
        if self.admission.timing.is_slow:
            self.needs_probe.set()
            self._send_elsewhere()
        else:
            self._no_longer_slow()

    def learn_no_load(self) -> None:
        """The backend server answered without reporting its load, so it may never report it."""
        if not self.admission.timing.is_speed_known:
            self.assume_usual_speed()

    def assume_usual_speed(self) -> None:
        """The backend server does not report its speed, so it counts as usual."""
        self.admission.timing.is_speed_known = True
        self.admission.timing.slowness = 1.0
        self._no_longer_slow()

    def speed_unknown(self) -> None:
        """Another backend server has come: its speed is not known until it reports."""
        self.admission.timing.reset_speed()
        self.needs_probe.set()

    def learn_cold(self, remaining: float) -> None:
        """The backend server answered a probe, and stays cold for `remaining` seconds."""
        now = self._clock()
        was_cold = self.admission.cold.is_cold(now)
        self.admission.cold.on_probe_answered()
        self.admission.cold.on_report(remaining, now)
        is_cold = self.admission.cold.is_cold(now)
        if is_cold and not was_cold:
            logs.info("backend-cold", remaining=round(remaining, 3))
        if was_cold and not is_cold:
            self._wake(self.admission.admit(now))  # a warm server bears more of those that wait

    def should_probe(self) -> bool:
        """Whether to probe now, while `needs_probe` is set: a request waits for the answer, or
        the server is likely to be fast again, which the entries should hear.
        """
        admission = self.admission
        if self.is_closed_by(ClosedBy.ZONE_UNKNOWN) or self.is_closed_by(ClosedBy.ZONE_DRAINED):
            return False
        now = self._clock()
        if admission.cold.is_assumed_cold(now):
            return True
        if not admission.timing.is_speed_known or admission.queued:
            return True
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            return True
        return is_probe_due(admission.timing, self.load_reported_at, now)

    def _close(self, reason: ClosedBy) -> None:
        """Refuse what arrives and what waits."""
        self.admission.closures.add(reason)
        self._refuse_waiting(reason.refusal)

    def _refuse_waiting(self, refusal: NotRun) -> None:
        for ticket, future in list(self._waiting.items()):
            if not future.done():
                self.admission.withdraw(ticket)
                future.set_result(refusal)

    def _send_elsewhere(self) -> None:
        """Refuse what waits here and should rather run on a faster server."""
        for ticket in self.admission.dequeue_for_other_servers(self._clock()):
            self._end_wait(ticket, FASTER_ELSEWHERE)

    def _no_longer_slow(self) -> None:
        if self.needs_probe.is_set() and not self.is_closed_by(ClosedBy.SERVER_LOST):
            self.needs_probe.clear()
            self._wake(self.admission.admit(self._clock()))

    async def _wait(self, ticket: Ticket, now: float) -> Ticket | NotRun:
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._plan_cold_start()
        longest = self.admission.timing.latest_start(ticket.call, now) - now
        try:
            async with asyncio.timeout(max(0.0, longest)):
                refusal = await future
            return ticket if refusal is None else refusal
        except TimeoutError:
            if ticket.started is not None:
                return ticket
            if self.admission.expire(ticket, self._clock()):
                return ticket
            return self.admission.refusal_after_wait(ticket.call, self._clock())
        except asyncio.CancelledError:
            if not self.admission.withdraw(ticket) and ticket.started is not None:
                self.leave(ticket, worked=False)
            raise
        finally:
            del self._waiting[ticket]

    def _wake(self, started: list[Ticket]) -> None:
        for ticket in started:
            self._end_wait(ticket, None)
        self._plan_cold_start()

    def _plan_cold_start(self) -> None:
        """Set a timer for the next start at a cold server, if a request waits for it."""
        wait = self.admission.cold_start_wait(self._clock())
        if wait is None or self._next_cold_start is not None:
            return
        loop = asyncio.get_running_loop()
        self._next_cold_start = loop.call_later(wait, self._admit_cold_start)

    def _admit_cold_start(self) -> None:
        self._next_cold_start = None
        self._wake(self.admission.admit(self._clock()))

    def _refuse_evicted(self) -> None:
        for ticket in self.admission.take_evicted():
            self._end_wait(ticket, EVICTED)

    def _end_wait(self, ticket: Ticket, refusal: NotRun | None) -> None:
        """End the wait of a ticket, if it waits; None: it has started."""
        future = self._waiting.get(ticket)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _log_run(self, ticket: Ticket, worked: bool) -> None:
        now = self._clock()
        call = ticket.call
        assert ticket.started is not None
        logs.debug(
            "run-ended",
            request=call.request_id,
            kind=call.kind.name,
            worked=worked,
            waited=round(ticket.started - ticket.arrived, 4),
            took=round(now - ticket.started, 4),
            slowness=f"{ticket.slowness}:{self.admission.timing.slowness}",
            target_left=round(call.target - now, 3),
            in_flight=self.admission.in_flight,
        )
