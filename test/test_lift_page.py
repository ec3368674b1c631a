"""The operators' page that lifts the hold on a request."""

import asyncio

import aiohttp
from wheatslipd.telemetry.pages import PageServer
from wheatslipd.telemetry.pagesource import PageSource

from standins.cluster import HOST
from test.helper import run


def test_a_lift_needs_a_post_and_answers_whether_the_request_was_held():
    async def scenario():
        fingerprints = []

        def lift(fingerprint):
            fingerprints.append(fingerprint)
            return fingerprint == "held"

        loop = asyncio.get_running_loop()
        pages = PageServer(HOST, 0, PageSource(loop, lambda: None, lambda: b"", lift))
        port = await pages.start()
        try:
            async with aiohttp.ClientSession() as session:
                url = f"http://{HOST}:{port}/lift?fingerprint="
                statuses = []
                for method, fingerprint in (
                    ("GET", "held"),
                    ("POST", "held"),
                    ("POST", "other"),
                ):
                    async with session.request(method, url + fingerprint) as answer:
                        statuses.append(answer.status)
        finally:
            await pages.stop()
        assert statuses == [405, 200, 404]
        assert fingerprints == ["held", "other"]

    run(scenario)
