"""The owner's end of a stream of asks: answers each ask on its own.

One task reads the asks, one sends the answers. Each ask has a task, so that a slow answer does
not hold up the others.
"""

import asyncio
from collections.abc import Awaitable, Callable

from grpclib.server import Stream
from result import Err, Ok, Result
from wheatslip.quota.messages import (
    AskRefusal,
    NumberedAnswer,
    NumberedAsk,
    TokenGrant,
    TokenRequest,
)

from wheatslipd.feed.tasks import run_until_first_completes
from wheatslipd.quota.askerrors import log_ask_error

# Asks of a stream whose answer was not sent yet. Further asks are not read, so an entry that
# reads no answers takes up no more. An entry has at most one ask per workspace in progress.
MAX_OPEN_ASKS = 1024

AnswerCallback = Callable[[TokenRequest], Awaitable[Result[TokenGrant, AskRefusal]]]


class AnswerStream:
    """Answers the asks of one stream. An ask whose answer raises an exception gets none."""

    def __init__(self, stream: Stream[NumberedAsk, NumberedAnswer], answer: AnswerCallback):
        self._stream = stream
        self._answer = answer
        self._unsent: asyncio.Queue[NumberedAnswer] = asyncio.Queue(MAX_OPEN_ASKS)
        self._places = asyncio.Semaphore(MAX_OPEN_ASKS)  # one is taken from reading to sending

    async def run(self) -> None:
        """Answer until the entry ends the stream."""
        await run_until_first_completes(self._read_asks(), self._send_answers())

    async def _read_asks(self) -> None:
        async with asyncio.TaskGroup() as answering:
            async for ask in self._stream:
                await self._places.acquire()
                answering.create_task(self._answer_ask(ask))

    async def _answer_ask(self, ask: NumberedAsk) -> None:
        try:
            result = await self._answer(ask.request)
        except Exception as error:
            # A bug in the granter. Only this ask is not answered.
            log_ask_error(ask.request, error)
            self._places.release()
            return
        match result:
            case Ok(grant):
                self._unsent.put_nowait(NumberedAnswer(ask.number, grant))
            case Err(refusal):
                self._unsent.put_nowait(NumberedAnswer(ask.number, refusal))

    async def _send_answers(self) -> None:
        while True:
            await self._stream.send_message(await self._unsent.get())
            self._places.release()
