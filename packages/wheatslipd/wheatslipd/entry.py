"""The entry: takes callers' requests and runs each through the filter chain."""

from collections.abc import Callable

from wheatslip.outcome import Answered

from wheatslipd.answers import send_refusal
from wheatslipd.chain import EntryRequest, Proceed
from wheatslipd.http.exchange import Exchange


class Entry:
    """Handles the requests of the entry port."""

    def __init__(self, chain: Proceed, clock: Callable[[], float]):
        self._chain = chain
        self._clock = clock

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        outcome = await self._chain(EntryRequest(exchange, self._clock()))
        if not isinstance(outcome, Answered) and not exchange.started:
            await send_refusal(exchange, outcome)
