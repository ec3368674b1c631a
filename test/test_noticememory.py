"""What an entry remembers of a server's announcements, and what a gate reads of them."""

from random import Random

import pytest
from wheatslip.noticememory import (
    FIRST_SHARE,
    LEAVING_SECONDS,
    MIN_SHARE,
    RETURN_SECONDS,
    NoticeMemory,
)
from wheatslip.servernotice import ServerNotice, ServerStart
from wheatslipd.gate.noticereader import NoticeReader
from wheatslipd.http.messages import ResponseHead
from wheatslipd.settings import HeaderNames

FIRST = ServerStart("i-1", 1000)
SECOND = ServerStart("i-1", 2000)
NAMES = HeaderNames(server=b"instance-id", limit=b"server-limit", leaving=b"server-leaving")


def limited(rate=8.0, start=FIRST):
    return ServerNotice(start, rate)


def test_a_limited_server_gets_picks_by_how_often_it_refuses():
    memory = NoticeMemory()
    assert memory.share(0.0) == 1.0
    memory.on_answer(limited(), 0.0)
    assert memory.share(0.0) <= FIRST_SHARE + 0.1
    for _ in range(50):
        memory.on_refusal(limited(), 1.0)
    assert memory.share(1.0) == MIN_SHARE
    picks = sum(memory.takes_part(1.0, Random(seed)) for seed in range(1000))
    assert 20 < picks < 100
    for _ in range(50):
        memory.on_answer(limited(), 2.0)
    assert memory.share(2.0) == 1.0


def test_a_server_comes_back_to_its_share_by_degrees():
    memory = NoticeMemory()
    memory.on_answer(limited(), 0.0)
    for _ in range(50):
        memory.on_refusal(None, 1.0)
    memory.on_answer(ServerNotice(FIRST), 5.0)
    assert memory.notice() is None
    assert memory.share(5.0) == MIN_SHARE
    assert memory.share(5.0 + RETURN_SECONDS / 2) == pytest.approx(MIN_SHARE + 0.5)
    assert memory.share(5.0 + RETURN_SECONDS) == 1.0


def test_leaving_is_remembered_for_one_start_of_the_server():
    memory = NoticeMemory()
    memory.on_listed(FIRST)
    memory.on_answer(ServerNotice(FIRST, leaving=True), 0.0)
    # The list and the gate know less: the daemon has restarted.
    memory.on_listed(ServerStart("i-1"))
    memory.on_listed(ServerStart())
    memory.on_refusal(None, 1.0)
    assert memory.is_leaving(1.0)
    memory.on_listed(SECOND)
    assert not memory.is_leaving(1.0)


def test_leaving_of_an_unknown_start_is_forgotten_later():
    memory = NoticeMemory()
    memory.on_answer(ServerNotice(leaving=True), 0.0)
    memory.on_listed(ServerStart())
    assert memory.is_leaving(LEAVING_SECONDS - 1)
    assert not memory.is_leaving(LEAVING_SECONDS)


class Heard:
    """A reader, and what it has passed on."""

    def __init__(self):
        self.rates = []
        self.leavings = 0
        self.reader = NoticeReader(NAMES, self.rates.append, self._count)
        self.reader.on_registered(FIRST, leaving=False)

    def _count(self):
        self.leavings += 1


def head(*headers):
    return ResponseHead(200, list(headers))


def test_gate_does_not_know_a_limit_after_a_restart_until_the_server_responds():
    heard = Heard()
    heard.reader.on_forwarded(limited(8.0, ServerStart("i-2")))
    assert heard.rates == []
    heard.reader.on_forwarded(limited(8.0))
    heard.reader.on_response(head((b"server-limit", b"4")))
    heard.reader.on_forwarded(limited(8.0))
    heard.reader.on_response(head())
    heard.reader.on_forwarded(limited(8.0))
    assert heard.rates == [8.0, 4.0, None]


def test_invalid_values_change_nothing():
    heard = Heard()
    heard.reader.on_response(head((b"server-limit", b"4")))
    for value in (b"0", b"nan", b"", b"-1"):
        heard.reader.on_response(head((b"server-limit", value)))
    twice = ((b"server-limit", b"5"), (b"server-limit", b"6"))
    heard.reader.on_response(head(*twice, (b"server-leaving", b"maybe")))
    assert heard.rates == [4.0] and not heard.leavings


def test_response_of_another_server_changes_nothing():
    heard = Heard()
    other = (b"instance-id", b"i-2")
    heard.reader.on_response(head(other, (b"server-limit", b"4"), (b"server-leaving", b"1")))
    heard.reader.on_health(head(other, (b"server-limit", b"4"), (b"server-leaving", b"1")))
    assert heard.rates == [] and not heard.leavings


def test_health_endpoint_that_names_no_limit_does_not_end_one():
    heard = Heard()
    heard.reader.on_response(head((b"server-limit", b"4")))
    heard.reader.on_health(head())
    assert heard.rates == [4.0]
    heard.reader.on_health(head((b"server-limit", b"3")))
    heard.reader.on_health(head())
    assert heard.rates == [4.0, 3.0, None]


def test_leaving_is_passed_on_once_for_each_start():
    heard = Heard()
    for _ in range(2):
        heard.reader.on_response(head((b"server-leaving", b"1")))
    assert heard.leavings == 1
    heard.reader.on_registered(SECOND, leaving=False)
    heard.reader.on_response(head((b"server-leaving", b"1")))
    assert heard.leavings == 2
