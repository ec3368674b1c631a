"""The operators' page that lifts the hold on a request."""

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

        pages = PageServer(HOST, 0, PageSource(lambda: None, lambda: b"", lift))
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


def test_nobody_lifts_where_the_settings_forbid_it():
    """Guards against a client at the port of the health page that lets requests run again."""

    async def scenario():
        lifted = []
        source = PageSource(lambda: None, lambda: b"", lifted.append, may_lift=False)
        pages = PageServer(HOST, 0, source)
        port = await pages.start()
        try:
            async with aiohttp.ClientSession() as session:
                url = f"http://{HOST}:{port}/lift?fingerprint=held"
                async with session.post(url) as answer:
                    assert answer.status == 403
        finally:
            await pages.stop()
        assert lifted == []

    run(scenario)
