"""The entry's end of a stream of asks to one owner of limits.

One task connects, sends the asks and receives the answers, which are matched by a number. The
callers of `AskStream.ask` hand their asks to it by a queue, and wait for a future.
"""

import asyncio
import traceback
from itertools import count
from math import inf

import msgspec
from grpclib.client import Channel, Stream, StreamStreamMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result
from wheatslip.quota.messages import (
    AskRefusal,
    NumberedAnswer,
    NumberedAsk,
    TokenGrant,
    TokenRequest,
)
from wheatslip.store.instances import Instance

from wheatslipd.feed.codec import StructCodec
from wheatslipd.feed.tasks import run_until_first_completes
from wheatslipd.quota.askfailure import UNSUPPORTED_STATUSES, AskFailure
from wheatslipd.quota.service import ASK_METHOD
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

# Asks that wait to be sent; one more fails as silent at once. An entry has at most one ask per
# workspace in progress, so the queue is full only if the owner does not read.
MAX_UNSENT_ASKS = 1024


FAILURE_OF_REFUSAL = {AskRefusal.OTHER_DAEMON: AskFailure.REFUSED}

AskResult = Result[TokenGrant, AskFailure]


class AskStream:
    """A stream to one owner. It connects at once, and ends when it breaks or is closed."""

    def __init__(self, owner: Instance, tls: PeerTls):
        loop = asyncio.get_running_loop()
        self._owner = owner
        self._tls = tls
        self._unsent: asyncio.Queue[NumberedAsk] = asyncio.Queue(MAX_UNSENT_ASKS)
        self._open_asks: dict[int, asyncio.Future[AskResult]] = {}
        self._numbers = count(1)
        self._failure: AskFailure | None = None  # why the stream ended; None: it has not
        self.last_answer_at = -inf  # seconds of the loop's clock
        self._task = loop.create_task(self._run())

    @property
    def has_ended(self) -> bool:
        """Whether the stream broke, could not be opened or was closed."""
        return self._failure is not None

    async def ask(self, request: TokenRequest) -> AskResult:
        """Ask, and wait for the answer or the end of the stream, without a time limit."""
        if self._failure is not None:
            return Err(self._failure)
        number = next(self._numbers)
        try:
            self._unsent.put_nowait(NumberedAsk(number, request))
        except asyncio.QueueFull:
            return Err(AskFailure.SILENT)
        answer: asyncio.Future[AskResult] = asyncio.get_running_loop().create_future()
        self._open_asks[number] = answer
        try:
            return await answer
        finally:
            del self._open_asks[number]

    def close(self) -> None:
        """Close the stream and its connection; open asks fail as silent."""
        self._end(AskFailure.SILENT)
        self._task.cancel()

    def _end(self, failure: AskFailure) -> None:
        """Fail the open asks and all later ones, unless the stream has ended before."""
        if self._failure is None:
            self._failure = failure
            for answer in self._open_asks.values():
                if not answer.done():
                    answer.set_result(Err(failure))

    async def _run(self) -> None:
        failure = AskFailure.SILENT
        try:
            await self._exchange()
        except ConnectionRefusedError:
            failure = AskFailure.REFUSED
        except GRPCError as error:
            if error.status in UNSUPPORTED_STATUSES and self.last_answer_at == -inf:
                failure = AskFailure.UNSUPPORTED
        except (OSError, StreamTerminatedError, msgspec.DecodeError):
            failure = AskFailure.SILENT
        except Exception as error:
            # A bug. Only this stream ends.
            trace = "".join(traceback.format_exception(error))
            logs.error(
                "quota-stream-failed",
                owner=self._owner.name,
                error=repr(error),
                trace=trace,
                repeat_key=self._owner.name,
            )
        finally:
            self._end(failure)

    async def _exchange(self) -> None:
        """Connect, then send and receive until the stream ends; raises as grpclib does."""
        channel = Channel(
            self._owner.address,
            self._owner.control_port,
            codec=StructCodec(),
            ssl=self._tls.client,
        )
        method: StreamStreamMethod[NumberedAsk, NumberedAnswer] = StreamStreamMethod(
            channel, ASK_METHOD, NumberedAsk, NumberedAnswer
        )
        try:
            async with method.open() as stream:
                await stream.send_request()
                await run_until_first_completes(
                    self._receive_answers(stream), self._send_asks(stream)
                )
        finally:
            channel.close()

    async def _send_asks(self, stream: Stream[NumberedAsk, NumberedAnswer]) -> None:
        while True:
            ask = await self._unsent.get()
            if ask.number in self._open_asks:  # else its caller has given up
                await stream.send_message(ask)

    async def _receive_answers(self, stream: Stream[NumberedAsk, NumberedAnswer]) -> None:
        loop = asyncio.get_running_loop()
        async for message in stream:
            self.last_answer_at = loop.time()
            answer = self._open_asks.get(message.number)
            if answer is not None and not answer.done():
                answer.set_result(_result_of(message.answer))
        raise StreamTerminatedError("the owner ended the stream")


def _result_of(answer: TokenGrant | AskRefusal) -> AskResult:
    if isinstance(answer, AskRefusal):
        return Err(FAILURE_OF_REFUSAL[answer])
    return Ok(answer)
