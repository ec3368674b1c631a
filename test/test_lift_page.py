"""The operators' page that lifts what is held against a request."""

import asyncio

import aiohttp
from wheatslipd.telemetry.pages import PageServer
from wheatslipd.telemetry.pagesource import PageSource

from standins.cluster import HOST
from test.helper import run


def test_a_lift_goes_by_post_and_says_whether_the_request_was_held():
    async def scenario():
        lifted = []

        def lift(fingerprint):
            lifted.append(fingerprint)
            return fingerprint == "held"

        loop = asyncio.get_running_loop()
        pages = PageServer(HOST, 0, PageSource(loop, lambda: None, lambda: b"", lift))
        port = await pages.start()
        try:
            async with aiohttp.ClientSession() as session:
                url = f"http://{HOST}:{port}/lift?fingerprint="
                answers = []
                for method, name in (("GET", "held"), ("POST", "held"), ("POST", "other")):
                    async with session.request(method, url + name) as answer:
                        answers.append(answer.status)
        finally:
            await pages.stop()
        assert answers == [405, 200, 404]
        assert lifted == ["held", "other"]

    run(scenario)
