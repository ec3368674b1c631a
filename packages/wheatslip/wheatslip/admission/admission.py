"""Admission control for one backend server: decides which requests start, wait or are refused.

This code does no I/O: the caller passes the time (seconds, monotonic) and carries out the
decisions. All requests to a backend server go through one `Admission`, so its count of running
requests is exact.

A request that would be answered too late is refused at once, so that its sender can try another
server or its caller can retry. A request that may be answered in time waits.

The rules in the order in which they apply to a new request:

| condition | result | decided by |
|---|---|---|
| the gate is closed | refused for the first active reason | `ClosedBy` |
| its deadline has passed | refused | `arrive` |
| the server is slow, and the sender can try others | refused | `should_try_elsewhere` |
| there is capacity, the queue is empty, and it need not wait for the end of a slow period \
| starts | `_start_if_possible` |
| it is short, and one of the slots for short requests only is free | starts | `_start_short` |
| the expected wait is longer than the sender accepts | refused | `arrive` |
| it would miss its deadline after the wait | refused | `is_too_late` |
| the wait for other requests would make it miss its target | refused | `_misses_target` |
| it may not be held | starts if its response would not be much too late, else refused | \
`_start_late_if_worthwhile` |
| the queue is full, no request of a rank behind waits, and no other workspace of its rank \
has a larger backlog | refused | `_enqueue` |
| otherwise | waits until it starts or its latest start has passed | `admit`, `expire` |

There is capacity if a slot is free and both `ColdStartLimiter`, for a cold server, and
`NamedLimit`, for one that names its limit, allow a start.
Waiting requests start by urgency, by rank and by the shares of their workspaces; those that
will miss their target start last in their rank.
"""

from dataclasses import dataclass, field
from math import ceil

from wheatslip.admission.closures import Closures
from wheatslip.admission.coldstart import ColdStartLimiter
from wheatslip.admission.gatequeue import GateQueue
from wheatslip.admission.namedlimit import NamedLimit
from wheatslip.admission.slowserver import (
    gain_of_probing,
    should_try_elsewhere,
    should_wait_out_slow_period,
)
from wheatslip.admission.ticket import AdmissionSettings, RefusedTicket, Ticket
from wheatslip.admission.timing import ServiceTiming
from wheatslip.call import UNLIMITED, Call, CallClass
from wheatslip.limit import ConcurrencyLimit
from wheatslip.outcome import NotRun, Reason
from wheatslip.retryafter import overloaded_refusal


@dataclass(slots=True)
class Admission:
    """The gate of one backend server."""

    settings: AdmissionSettings
    timing: ServiceTiming = field(init=False)
    closures: Closures = field(init=False, default_factory=Closures)
    last_finished_at: float = float("-inf")
    cold: ColdStartLimiter = field(init=False, default_factory=ColdStartLimiter)
    named_limit: NamedLimit = field(init=False, default_factory=NamedLimit)
    _queue: GateQueue = field(init=False)
    _running: set[Ticket] = field(init=False, default_factory=set)
    _displaced: list[RefusedTicket] = field(init=False, default_factory=list)
    # Whether requests found no capacity or waited since the last recorded service time.
    _was_full: bool = field(init=False, default=False)

    def __post_init__(self) -> None:
        self.timing = ServiceTiming(ConcurrencyLimit(self.settings.slots))
        self._queue = GateQueue(self.settings.urgent_share)

    @property
    def limit(self) -> ConcurrencyLimit:
        return self.timing.limit

    @property
    def in_flight(self) -> int:
        """Number of requests that the backend server is processing."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    def set_shares(self, shares: dict[str, float]) -> None:
        """Sets the weights of the workspaces by name; a missing one has weight 1."""
        self._queue.set_shares(shares)

    def resize(self, settings: AdmissionSettings) -> None:
        """Applies new settings; waiting and running requests are kept."""
        if settings.slots != self.settings.slots:
            self.timing.limit = ConcurrencyLimit(settings.slots)
        self.settings = settings
        self._queue.set_urgent_share(settings.urgent_share)

    def gain_of_probing(self, call: Call, now: float) -> float:
        """Returns the expected benefit of probing the server before `call` starts, as a
        fraction of the value of a response within its target; 0 if the call can't start now.
        """
        if self.closures.active:
            return 0.0
        if self.queued or not self._has_capacity(now):
            return 0.0  # the call waits for a response, which reports the speed again
        return gain_of_probing(self.timing, call, now)

    def expected_wait(self, call: Call, now: float) -> float:
        """Estimates the seconds until a call that arrives now would start, considering its
        rank and the share of its workspace.
        """
        has_slot = self.in_flight < self.limit.value
        if has_slot and not self.queued:
            return self._rate_wait(0, now)
        return self._wait_behind(self._queue.count_ahead(call), now)

    def paced_start_wait(self, now: float) -> float | None:
        """Returns the seconds until a waiting request may start if it waits only because of a
        rate limit, else None.
        """
        if not self.queued or self.in_flight >= self.limit.value:
            return None
        return self._rate_wait(0, now) or None

    def reported_limit(self, now: float) -> int:
        """Returns the concurrency limit for the load report. If the rate of starts is limited,
        it is at most the concurrency that this rate can sustain.
        """
        rates = [self.named_limit.rate] if self.named_limit.rate is not None else []
        if self.cold.rate is not None and self.cold.is_cold(now):
            rates.append(self.cold.rate.per_second)
        service_time = self.timing.current_service_time(now)
        sustained_concurrencies = [ceil(rate * service_time) for rate in rates]
        return max(1, min([self.limit.value, *sustained_concurrencies]))

    def arrive(self, call: Call, now: float, max_wait: float = UNLIMITED) -> Ticket | NotRun:
        """Admits or refuses a request. A returned ticket with a start time runs, one without
        waits.

        `max_wait` is the longest wait in seconds for which the sender prefers this server over
        another one.
        """
        closed_by = self.closures.active
        if closed_by:
            return closed_by[0].refusal
        if call.remaining(now) <= 0:
            return NotRun(Reason.DEADLINE)
        if should_try_elsewhere(self.timing, call, max_wait, now):
            return overloaded_refusal(0.0)
        ticket = Ticket(call, now, max_wait=max_wait)
        if self._start_if_possible(ticket, now) or self._start_short(ticket, now):
            return ticket
        wait = self.expected_wait(call, now)
        if self._is_wait_useless(ticket, wait, now):
            return self._refusal(wait, max_wait, now)
        if call.hold_until <= now:
            may_run = self._start_late_if_worthwhile(ticket, now)
        else:
            may_run = self._enqueue(ticket, now)
        return ticket if may_run else self._refusal(wait, max_wait, now)

    def limit_rate(self, rate: float | None, now: float) -> list[RefusedTicket]:
        """Applies the rate that the server names, in requests per second; None: no limit.

        Removes and returns the waiting tickets whose wait has become too long.
        """
        self.named_limit.set_rate(rate, now)
        refused = []
        kept_count = 0
        for ticket in list(self._queue):
            wait = self._rate_wait(kept_count, now)
            if wait > 0 and self._is_wait_useless(ticket, wait, now):
                self._queue.remove(ticket)
                refused.append(RefusedTicket(ticket, self._refusal(wait, ticket.max_wait, now)))
            else:
                kept_count += 1
        return refused

    def finish(self, ticket: Ticket, now: float, *, worked: bool) -> list[Ticket]:
        """Removes a started request that has ended, and returns the tickets that start now.

        `worked` tells whether the backend server answered it, so that its service time is
        valid.
        """
        assert ticket.started is not None
        if ticket not in self._running:
            return []
        self._running.remove(ticket)
        self.timing.on_end(ticket.started)
        self.last_finished_at = now
        service_time = now - ticket.started
        if worked and self.timing.observe(ticket, service_time, saturated=self._was_full):
            self._was_full = bool(self.queued)
        return self.admit(now)

    def dequeue_for_other_servers(self, now: float) -> list[Ticket]:
        """Removes and returns the tickets that another, faster server should take."""
        redirected_tickets = [
            ticket
            for ticket in self._queue
            if should_try_elsewhere(self.timing, ticket.call, ticket.max_wait, now)
        ]
        for ticket in redirected_tickets:
            self._queue.remove(ticket)
        return redirected_tickets

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting ticket from the queue; returns False if it is not waiting."""
        if ticket.started is not None:
            return False
        return self._queue.remove(ticket)

    def admit(self, now: float) -> list[Ticket]:
        """Starts waiting requests while there is capacity, and returns their tickets."""
        started_tickets = []
        postponed_tickets = []
        while self._has_capacity(now):
            ticket = self._queue.pop()
            if ticket is None:
                break
            if should_wait_out_slow_period(self.timing, ticket.call, now):
                postponed_tickets.append(ticket)
            elif not self._requeue_if_late(ticket, now):
                self._start_ticket(ticket, now)
                started_tickets.append(ticket)
        for ticket in postponed_tickets:
            self._queue.push(ticket)
        return started_tickets

    def expire(self, ticket: Ticket, now: float) -> bool:
        """Removes a waiting ticket whose latest start has passed from the queue. Returns
        whether it was started late.
        """
        self._queue.remove(ticket)
        return not self.closures.active and self._start_late_if_worthwhile(ticket, now)

    def refusal_after_wait(self, call: Call, now: float) -> NotRun:
        """Returns the refusal of a call that has waited and was not started."""
        if call.hold_until > now:
            return NotRun(Reason.DEADLINE)
        return self._refusal(self.expected_wait(call, now), UNLIMITED, now)

    def take_evicted(self) -> list[Ticket]:
        """Returns the tickets evicted from a full queue since the last call, each for a request
        of the same rank.
        """
        return self._queue.take_evicted()

    def take_displaced(self) -> list[RefusedTicket]:
        """Returns the waiting tickets refused since the last call for requests of ranks before
        their own.
        """
        displaced_tickets, self._displaced = self._displaced, []
        return displaced_tickets

    def _start_if_possible(self, ticket: Ticket, now: float) -> bool:
        """Starts a new ticket unless it must wait; returns whether it was started."""
        has_capacity = self._has_capacity(now)
        if (
            has_capacity
            and not self.queued
            and not should_wait_out_slow_period(self.timing, ticket.call, now)
        ):
            self._start_ticket(ticket, now)
            return True
        self._was_full = self._was_full or not has_capacity
        return False

    def _wait_behind(self, ahead: int, now: float) -> float:
        """Estimates the seconds until a request starts that has `ahead` others before it."""
        slot_wait = (ahead + 1) / self.limit.value * self.timing.current_service_time(now)
        return max(slot_wait, self._rate_wait(ahead, now))

    def _start_short(self, ticket: Ticket, now: float) -> bool:
        """Starts a short request in a slot that other requests may not use; returns whether it
        was started.
        """
        if (
            self.in_flight < self.settings.short_slots
            and self._rate_wait(0, now) <= 0
            and self.timing.is_short(ticket.call)
            and not should_wait_out_slow_period(self.timing, ticket.call, now)
        ):
            self._start_ticket(ticket, now)
            return True
        return False

    def _rate_wait(self, ahead: int, now: float) -> float:
        """Seconds until the rate limits let a request with `ahead` others before it start."""
        return max(self.cold.wait(ahead, now), self.named_limit.wait(ahead, now))

    def _is_wait_useless(self, ticket: Ticket, wait: float, now: float) -> bool:
        """Whether a ticket should be refused now instead of after a wait."""
        call = ticket.call
        return (
            wait > ticket.max_wait
            or self.timing.is_too_late(call, wait, now)
            or self._misses_target(call, wait, now)
        )

    def _refusal(self, wait: float, max_wait: float, now: float) -> NotRun:
        """Refuses a request that would wait for `wait` seconds.

        With a finite `max_wait`, its sender tries another server next.
        """
        is_final = max_wait == UNLIMITED
        return overloaded_refusal(self.named_limit.retry_after(wait, now) if is_final else wait)

    def _misses_target(self, call: Call, wait: float, now: float) -> bool:
        """Whether waiting for other requests or for a rate limit makes a call miss its target.
        A call that waits only for the end of a slow period may still meet it.
        """
        waits_for_rate = self._rate_wait(0, now) > 0
        if self.in_flight + self.queued < self.limit.value and not waits_for_rate:
            return False
        return self.timing.misses_target(call, wait, now)

    def _start_late_if_worthwhile(self, ticket: Ticket, now: float) -> bool:
        """Starts a ticket that can't wait any longer if there is capacity and its response
        would still be useful; returns whether it was started.
        """
        if not self._has_capacity(now):
            return False
        is_idle = 2 * self.in_flight <= self.limit.value
        if not self.timing.may_start_late(ticket.call, now, is_idle=is_idle):
            return False
        self._start_ticket(ticket, now)
        return True

    def _requeue_if_late(self, ticket: Ticket, now: float) -> bool:
        """Requeues a ticket that will miss its target behind all that may meet theirs; returns
        whether it did.

        A ticket that was requeued before, or that is the only one waiting, is not requeued.
        """
        call = ticket.call
        if ticket.is_late or not self.queued:
            return False
        if now + self.timing.current_call_time(call, now) <= call.target:
            return False
        ticket.is_late = True
        self._queue.push(ticket)
        return True

    def _enqueue(self, ticket: Ticket, now: float) -> bool:
        """Adds a ticket to the queue; returns False if the queue is full."""
        if len(self._queue) >= self.settings.queue:
            last_behind = self._last_behind(ticket.call)
            if last_behind is not None:
                self._displace(last_behind, now)
            elif not self._queue.evict_for(ticket):
                return False
        self._queue.push(ticket)
        self._displace_if_useless(ticket.call, now)
        return True

    def _displace_if_useless(self, call: Call, now: float) -> None:
        """Refuses the last ticket of the last rank if `call`, which goes before it, makes its
        wait useless. Looks at one ticket only, because each call delays others by one start.
        """
        ticket = self._last_behind(call)
        if ticket is None:
            return
        wait = self._wait_behind(self._queue.count_before_last(), now)
        if self._is_wait_useless(ticket, wait, now):
            self._displace(ticket, now)

    def _last_behind(self, call: Call) -> Ticket | None:
        """The ticket to refuse first for `call`, if one of a rank behind it waits."""
        if call.call_class is CallClass.URGENT and not self.settings.has_ranks:
            return None
        return self._queue.last_behind(call)

    def _displace(self, ticket: Ticket, now: float) -> None:
        """Refuses a waiting ticket because of requests of ranks before its own."""
        self._queue.remove(ticket)
        refusal = self._refusal(self.expected_wait(ticket.call, now), ticket.max_wait, now)
        self._displaced.append(RefusedTicket(ticket, refusal))

    def _has_capacity(self, now: float) -> bool:
        """Whether a slot is free and the rate limits, if any, allow a start."""
        return self.in_flight < self.limit.value and self._rate_wait(0, now) <= 0

    def _start_ticket(self, ticket: Ticket, now: float) -> None:
        self.cold.on_start(now)
        self.named_limit.on_start(now)
        self.timing.on_start(ticket, now)
        self._running.add(ticket)
