"""The entry's side of a limit without a network: its tokens and its waiting requests."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from wheatslip.config.bundle import RateLimit
from wheatslip.quota.holder import MAX_REFUSE_SECONDS, TokenHolder
from wheatslip.quota.messages import TokenGrant
from wheatslip.quota.settings import QuotaSettings
from wheatslipd.quota.asker import Answer
from wheatslipd.quota.client import OverLimit, QuotaClient
from wheatslipd.telemetry.metrics import Metrics

from test.helper import recorded_events, run

LIMIT = RateLimit(10.0, 5.0)


class Clock:
    """A clock that stands still, a little later at each reading."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        self.now += 1e-6
        return self.now


class AskerStandIn:
    """Answers each ask with the next of `grants`, once `may_answer` is set."""

    def __init__(self, clock, *grants):
        self._clock = clock
        self._grants = list(grants)
        self.may_answer = asyncio.Event()
        self.asks = []

    async def ask(self, request):
        self.asks.append(request)
        asked_at = self._clock()
        await self.may_answer.wait()
        return Answer(self._grants.pop(0), "owner", asked_at)


@asynccontextmanager
async def running_client(*grants):
    clock = Clock()
    asker = AskerStandIn(clock, *grants)
    client = QuotaClient(
        "entry", TokenHolder(QuotaSettings()), asker, Metrics("entry", "one"), clock
    )
    runner = asyncio.create_task(client.run())
    await asyncio.sleep(0)
    try:
        yield client, asker
    finally:
        runner.cancel()
        await asyncio.gather(runner, return_exceptions=True)


async def until_asked(asker, count=1):
    while len(asker.asks) < count:
        await asyncio.sleep(0)


def test_a_token_given_to_a_request_that_is_cancelled_at_once_serves_another():
    """Guards against a token that is lost between the answer and a caller that leaves."""

    async def scenario():
        async with running_client(TokenGrant(1)) as (client, asker):
            leaving = asyncio.create_task(client.take("alpha", LIMIT, 1))
            await until_asked(asker)
            use = client.use_of("alpha")
            (waiting,) = use.waiting
            take = client._holder.take

            def take_and_cancel(workspace, now):
                # The cancellation is scheduled before the task is resumed with the token.
                asyncio.get_running_loop().call_soon(leaving.cancel)
                return take(workspace, now)

            client._holder.take = take_and_cancel
            asker.may_answer.set()
            await asyncio.gather(leaving, return_exceptions=True)
            client._holder.take = take
            assert leaving.cancelled()
            assert not isinstance(waiting.result(), OverLimit)
            assert use.used == 0
            token = await client.take("alpha", LIMIT, 1)
            assert token == waiting.result()
            assert len(asker.asks) == 1

    run(scenario)


@pytest.mark.parametrize("granted", [0, 2])
def test_requests_without_a_token_are_refused_with_the_answer(granted):
    """Guards against requests that wait on, or ask again, when the owner has no more tokens."""

    async def scenario():
        async with running_client(TokenGrant(granted, 3.0)) as (client, asker):
            takes = [asyncio.create_task(client.take("alpha", LIMIT, 1)) for _ in range(4)]
            await until_asked(asker)
            asker.may_answer.set()
            results = await asyncio.gather(*takes)
            refusals = [result for result in results if isinstance(result, OverLimit)]
            assert len(refusals) == 4 - granted
            assert all(refusal.retry_after > 2.9 for refusal in refusals)
            later = await client.take("alpha", LIMIT, 1)
            assert isinstance(later, OverLimit)
            assert len(asker.asks) == 1

    run(scenario)


def test_requests_that_come_after_the_ask_share_the_next_one():
    """Guards against a refusal of requests that the first ask did not count."""

    async def scenario():
        async with running_client(TokenGrant(1), TokenGrant(50)) as (client, asker):
            first = asyncio.create_task(client.take("alpha", LIMIT, 1))
            await until_asked(asker)
            others = [asyncio.create_task(client.take("alpha", LIMIT, 1)) for _ in range(9)]
            await asyncio.sleep(0)
            asker.may_answer.set()
            results = await asyncio.gather(first, *others)
            assert not any(isinstance(result, OverLimit) for result in results)
            assert [ask.tokens >= 9 for ask in asker.asks] == [False, True]

    run(scenario)


def test_an_answer_whose_tokens_have_expired_does_not_keep_requests_waiting():
    """Guards against a loop of asks without an end where each answer comes too late."""

    async def scenario():
        async with running_client(TokenGrant(1)) as (client, asker):
            take = asyncio.create_task(client.take("alpha", LIMIT, 1))
            await until_asked(asker)
            asker._clock.now += 1.0
            asker.may_answer.set()
            assert isinstance(await take, OverLimit)
            assert len(asker.asks) == 1

    run(scenario)


def test_an_ask_names_the_newest_limit():
    """Guards against the limit of an older bundle that a request before the change has."""

    async def scenario():
        async with running_client(*[TokenGrant(0, 0.0)] * 3) as (client, asker):
            asker.may_answer.set()
            for version, rate in ((1, 10.0), (3, 2.0), (2, 10.0)):
                await client.take("alpha", RateLimit(rate), version)
            assert [(q.version, q.rate) for q in asker.asks] == [
                (1, 10.0),
                (3, 2.0),
                (3, 2.0),
            ]

    run(scenario)


def test_an_answer_for_an_older_limit_is_asked_for_again():
    """Guards against tokens of a higher limit that are used after a lower one is in force, and
    against requests that are refused because their answer came too late for it.
    """

    async def scenario():
        async with running_client(TokenGrant(5), TokenGrant(2)) as (client, asker):
            first = asyncio.create_task(client.take("alpha", LIMIT, 1))
            await until_asked(asker)
            second = asyncio.create_task(client.take("alpha", RateLimit(1.0), 2))
            await asyncio.sleep(0)
            asker.may_answer.set()
            results = await asyncio.gather(first, second)
            assert not any(isinstance(result, OverLimit) for result in results)
            assert [(q.version, q.rate) for q in asker.asks] == [(1, 10.0), (2, 1.0)]

    run(scenario)


def test_an_ask_that_raises_refuses_its_requests_and_does_not_end_the_client():
    """Guards against a granter of the own daemon that raises and thereby ends the daemon, and
    against requests that wait for an answer that never comes.
    """

    async def scenario():
        with recorded_events() as events:
            async with running_client(TokenGrant(1)) as (client, asker):
                ask = asker.ask

                async def raise_error(request):
                    raise RuntimeError("granter of " + request.workspace)

                asker.ask = raise_error
                results = await asyncio.gather(
                    *(client.take("alpha", LIMIT, 1) for _ in range(3))
                )
                assert all(isinstance(result, OverLimit) for result in results)
                asker.ask = ask
                asker.may_answer.set()
                asker._clock.now += MAX_REFUSE_SECONDS
                assert not isinstance(await client.take("alpha", LIMIT, 1), OverLimit)
        (failed,) = [e for e in events if e.get("message_type") == "quota-ask-failed"]
        assert (failed["workspace"], failed["sender"]) == ("alpha", "entry")
        assert "granter of alpha" in failed["error"]

    run(scenario)
