"""The entry port: runs each request of a caller through the filter chain."""

from collections.abc import Callable

from wheatslip.outcome import Answered

from wheatslipd.chain import EntryRequest, Proceed
from wheatslipd.entry.refusals import send_refusal
from wheatslipd.http.exchange import Exchange


class Entry:
    """Handles the requests of the entry port."""

    def __init__(
        self,
        chain: Proceed,
        clock: Callable[[], float],
        *,
        by_routes: bool = False,
    ):
        """`by_routes` is passed to `send_refusal`."""
        self._chain = chain
        self._clock = clock
        self._by_routes = by_routes

    async def handle(self, exchange: Exchange) -> None:
        outcome = await self._chain(EntryRequest(exchange, self._clock()))
        if not isinstance(outcome, Answered) and not exchange.started:
            await send_refusal(exchange, outcome, by_routes=self._by_routes)
