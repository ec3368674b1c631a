"""Admission gate of the local backend server; carries out the decisions of `Admission`.

The gate queues requests until they may start, closes and opens on events of the server and its
zone, and passes the server's load reports to `Admission`. `needs_probe` is set while only a
probe can tell the state of the server: it is slow, lost or newly registered.
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

# With 1, a single broken connection would close the gate; with more, requests that may not run
# twice are lost on a server that is gone.
LOST_AFTER_FAILURES = 2  # consecutive connection failures after which the server counts as lost


@dataclass(frozen=True, slots=True)
class SpeedProbing:
    """How a gate probes the speed of its server before a request starts."""

    probe: Callable[["Gate"], Awaitable[None]]  # updates the gate, in bounded time
    price: float  # cost of one probe, as a fraction of the value of a response within target


class Gate:
    """Applies the admission decisions for one backend server."""

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
        """`closed_by` are the reasons for which the gate is closed at the start. `is_probed`
        tells whether a task probes the server while `needs_probe` is set; without one, the gate
        does not close for a lost server, since nothing would open it again. Without `probing`,
        no request waits for a probe.
        """
        self.admission = admission
        for reason in closed_by:
            admission.closures.add(reason)
        self._view = view
        self._clock = clock
        self.needs_probe = asyncio.Event()
        self._is_probed = is_probed
        self._probing = probing
        self._consecutive_failures = 0
        self.load_reported_at = float("-inf")
        self._waiting: dict[Ticket, asyncio.Future[NotRun | None]] = {}
        self._paced_start_timer: asyncio.TimerHandle | None = None

    async def start_call(self, call: Call, max_wait: float) -> Ticket | NotRun:
        """Wait until the call may start; refuse it if that would take over `max_wait` seconds.

        A returned ticket has started and must be passed to `finish_call`.
        """
        now = self._clock()
        probing = self._probing
        if probing and self.admission.gain_of_probing(call, now) > probing.price:
            await probing.probe(self)
            now = self._clock()
        ticket = self.admission.arrive(call, now, max_wait)
        self._refuse_evicted()
        if isinstance(ticket, NotRun) or ticket.started is not None:
            return ticket
        return await self._wait_for_start(ticket, now)

    def finish_call(self, ticket: Ticket, *, worked: bool) -> None:
        """Record the end of a started request; `worked` if the backend server answered it."""
        if logs.is_enabled(LogLevel.DEBUG):
            self._log_finished_call(ticket, worked)
        started_tickets = self.admission.finish(ticket, self._clock(), worked=worked)
        self._end_waits(started_tickets)

    def load_report(self) -> LoadReport:
        """The current load, sent with each response."""
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
        """Whether the gate is closed for this reason, possibly among others."""
        return reason in self.admission.closures.active

    def on_server_replaced(self) -> None:
        """Close the gate after a response that shows that another server is listening.

        It opens when a heartbeat has identified that server, which rejects all requests until
        then. The retry of each would be charged to the retry budget.
        """
        if not self.is_closed_by(ClosedBy.SERVER_UNKNOWN):
            logs.info("backend-replaced", in_flight=self.admission.in_flight)
            self._close(ClosedBy.SERVER_UNKNOWN)

    def on_server_leaving(self) -> None:
        """Refuse new and queued requests; queued ones have not run and may go elsewhere."""
        self._close(ClosedBy.SERVER_LEAVES)

    def on_server_available(self) -> None:
        """Accept requests again: the server is identified and not leaving."""
        self.admission.closures.remove(ClosedBy.SERVER_UNKNOWN)
        self.admission.closures.remove(ClosedBy.SERVER_LEAVES)

    def on_zone_drained(self) -> None:
        """Refuse new and queued requests; running ones continue to their end."""
        self.admission.closures.remove(ClosedBy.ZONE_UNKNOWN)
        self._close(ClosedBy.ZONE_DRAINED)

    def on_zone_not_drained(self) -> None:
        """Open the gate: the first read of the zone drains does not contain the zone."""
        self.admission.closures.remove(ClosedBy.ZONE_UNKNOWN)

    def on_zone_restored(self) -> None:
        """Open the gate: the zone is no longer drained.

        The server may have become cold meanwhile, so it gets the load of a cold server until a
        probe answers.
        """
        self.admission.closures.remove(ClosedBy.ZONE_DRAINED)
        self.admission.cold.assume_cold(self._clock())
        self.needs_probe.set()

    def on_connection_failure(self) -> None:
        """Record a failure to connect, or a connection that broke before the response.

        After `LOST_AFTER_FAILURES` consecutive failures the gate closes until the server
        answers a probe, because each failed request may be one that must not run twice.
        """
        if not self._is_probed:
            return
        self._consecutive_failures += 1
        if self._consecutive_failures >= LOST_AFTER_FAILURES:
            self._close_as_lost()

    def on_server_ended(self) -> None:
        """Close the gate until the server answers a probe: its port is closed."""
        if self._is_probed:
            self._close_as_lost()

    def _close_as_lost(self) -> None:
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            return
        logs.warning("backend-lost", in_flight=self.admission.in_flight)
        self.admission.closures.add(ClosedBy.SERVER_LOST)
        self.needs_probe.set()
        # Not `ClosedBy.refusal`: queued requests get a shorter retry-after than new ones.
        self._refuse_queued(LOST_WHILE_WAITING)

    def on_answer(self) -> None:
        """Record a response of the backend server, whatever its status."""
        self._consecutive_failures = 0
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            logs.info("backend-back")
            self.admission.closures.remove(ClosedBy.SERVER_LOST)
            # It may have restarted and be cold; the answer to a probe corrects this.
            self.admission.cold.assume_cold(self._clock())
            self.assume_usual_speed()

    def update_load(self, load: BackendLoad) -> None:
        """Apply a load report of the backend server."""
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
            self._refuse_for_faster_servers()
        else:
            self._resume_normal_speed()

    def on_missing_load(self) -> None:
        """Handle a response without a load report: the server may never send one."""
        if not self.admission.timing.is_speed_known:
            self.assume_usual_speed()

    def assume_usual_speed(self) -> None:
        """Assume the usual speed, for a server that does not report its speed."""
        self.admission.timing.is_speed_known = True
        self.admission.timing.slowness = 1.0
        self._resume_normal_speed()

    def on_speed_unknown(self) -> None:
        """Forget the speed: a new backend server has registered and has not reported yet."""
        self.admission.timing.reset_speed()
        self.needs_probe.set()

    def update_cold_state(self, remaining: float) -> None:
        """Apply the answer to a probe: the server stays cold for `remaining` seconds."""
        now = self._clock()
        was_cold = self.admission.cold.is_cold(now)
        self.admission.cold.on_probe_answered()
        self.admission.cold.on_report(remaining, now)
        is_cold = self.admission.cold.is_cold(now)
        if is_cold and not was_cold:
            logs.info("backend-cold", remaining=round(remaining, 3))
        if was_cold and not is_cold:
            # A warm server has capacity for more of the queued requests.
            self._end_waits(self.admission.admit(now))

    def limit_rate(self, rate: float | None) -> None:
        """Apply the rate that the server names, in requests per second; None: no limit."""
        now = self._clock()
        for refused in self.admission.limit_rate(rate, now):
            self._end_wait(refused.ticket, refused.refusal)
        if self._paced_start_timer is not None:
            self._paced_start_timer.cancel()
            self._paced_start_timer = None
        self._end_waits(self.admission.admit(now))

    @property
    def is_assumed_cold(self) -> bool:
        """Whether the server has the load of a cold one until a probe tells its state."""
        return self.admission.cold.is_assumed_cold(self._clock())

    def should_probe(self) -> bool:
        """Whether to probe now, while `needs_probe` is set.

        A probe is due if the server is lost or its speed or cold state is unknown, if a request
        is queued, or if the server is probably fast again.
        """
        admission = self.admission
        if self.is_closed_by(ClosedBy.ZONE_UNKNOWN) or self.is_closed_by(ClosedBy.ZONE_DRAINED):
            return False
        now = self._clock()
        if self.is_assumed_cold:
            return True
        if not admission.timing.is_speed_known or admission.queued:
            return True
        if self.is_closed_by(ClosedBy.SERVER_LOST):
            return True
        return is_probe_due(admission.timing, self.load_reported_at, now)

    def _close(self, reason: ClosedBy) -> None:
        """Close the gate and refuse all queued requests."""
        self.admission.closures.add(reason)
        self._refuse_queued(reason.refusal)

    def _refuse_queued(self, refusal: NotRun) -> None:
        for ticket, future in list(self._waiting.items()):
            if not future.done():
                self.admission.withdraw(ticket)
                future.set_result(refusal)

    def _refuse_for_faster_servers(self) -> None:
        """Refuse queued requests that should run on a faster server."""
        for ticket in self.admission.dequeue_for_other_servers(self._clock()):
            self._end_wait(ticket, FASTER_ELSEWHERE)

    def _resume_normal_speed(self) -> None:
        if not self.needs_probe.is_set() or self.is_closed_by(ClosedBy.SERVER_LOST):
            return
        if not self.is_assumed_cold:
            self.needs_probe.clear()
        self._end_waits(self.admission.admit(self._clock()))

    async def _wait_for_start(self, ticket: Ticket, now: float) -> Ticket | NotRun:
        future: asyncio.Future[NotRun | None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self._schedule_paced_start()
        timeout = self.admission.timing.latest_start(ticket.call, now) - now
        try:
            async with asyncio.timeout(max(0.0, timeout)):
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
                self.finish_call(ticket, worked=False)
            raise
        finally:
            del self._waiting[ticket]

    def _end_waits(self, started_tickets: list[Ticket]) -> None:
        for ticket in started_tickets:
            self._end_wait(ticket, None)
        self._schedule_paced_start()

    def _schedule_paced_start(self) -> None:
        """Schedule the next start that a rate limit allows, if a request is queued."""
        wait = self.admission.paced_start_wait(self._clock())
        if wait is None or self._paced_start_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._paced_start_timer = loop.call_later(wait, self._admit_paced_start)

    def _admit_paced_start(self) -> None:
        self._paced_start_timer = None
        self._end_waits(self.admission.admit(self._clock()))

    def _refuse_evicted(self) -> None:
        for ticket in self.admission.take_evicted():
            self._end_wait(ticket, EVICTED)
        for refused in self.admission.take_displaced():
            self._end_wait(refused.ticket, refused.refusal)

    def _end_wait(self, ticket: Ticket, refusal: NotRun | None) -> None:
        """Wake the task that waits for a ticket, if any; without `refusal` it has started."""
        future = self._waiting.get(ticket)
        if future is not None and not future.done():
            future.set_result(refusal)

    def _log_finished_call(self, ticket: Ticket, worked: bool) -> None:
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
