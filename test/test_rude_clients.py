"""Daemons as processes beside crowds of clients that do not behave, at each port and path.

What must hold: no daemon ends or passes the memory of the smallest machine, ordinary callers
are served, and the health page answers the platform's questions.
"""

from dataclasses import dataclass

import pytest

from standins.rude import Conduct
from test.helper import run
from test.rude_fleet import NO_ROUTE, READ_PATH, WRITE_PATH, rude_fleet

PLAY_SECONDS = 4.0
MIN_SERVED = 0.95  # of the ordinary requests at the daemon that the crowd comes to
MIN_SERVED_ELSEWHERE = 0.99
MAX_MISSES = 1  # in a row; after two the platform sends nobody there
HEALTH, STATUS = "/health", "/status"


@dataclass(frozen=True)
class Case:
    """A crowd of so many connections."""

    conduct: Conduct
    connections: int
    path: str = READ_PATH
    port: str = "entry"
    answer_bytes: int = 0  # of the servers' answers, above the usual ones
    seconds: float = PLAY_SECONDS

    def __str__(self):
        place = self.path.strip("/").replace("/", "-")
        size = f"-{self.answer_bytes}" if self.answer_bytes else ""
        return f"{self.conduct}-{self.connections}-{self.port}-{place}{size}"


# Connections of the crowds: few of those that send without a pause, many of the quiet ones.
CROWDS = {
    Conduct.BODIES: 80,
    Conduct.PIECES: 80,
    Conduct.CHUNKS: 250,
    Conduct.OVER_LIMIT: 80,
    Conduct.FIELDS: 150,
    Conduct.AHEAD: 400,
    Conduct.USUAL_AHEAD: 300,
    Conduct.SLOW_HEAD: 1500,
    Conduct.STOPPED_HEAD: 1500,
    Conduct.SLOW_BODY: 1500,
    Conduct.STOPPED_BODY: 1500,
    Conduct.SLOW_READER: 300,
    Conduct.STOPPED_READER: 1500,
    Conduct.SILENT: 4500,
}
PLACES = [("entry", READ_PATH), ("entry", NO_ROUTE), ("pages", HEALTH), ("peer", READ_PATH)]
EACH_AT_EACH_PLACE = [
    Case(conduct, connections, path, port)
    for port, path in PLACES
    for conduct, connections in CROWDS.items()
]
OTHERS = [
    Case(conduct, CROWDS[conduct], path, port)
    for conduct, path, port in (
        (Conduct.BODIES, WRITE_PATH, "entry"),
        (Conduct.CHUNKS, WRITE_PATH, "entry"),
        (Conduct.STOPPED_BODY, WRITE_PATH, "entry"),
        (Conduct.SLOW_READER, STATUS, "pages"),
        (Conduct.AHEAD, STATUS, "pages"),
        (Conduct.SILENT, "/", "control"),
        (Conduct.AHEAD, "/", "control"),
        (Conduct.OVER_LIMIT, "/", "control"),
    )
]
# More connections than the entry has, from those that cost it most.
FULL = [
    Case(conduct, 1500, seconds=2 * PLAY_SECONDS)
    for conduct in (Conduct.FIELDS, Conduct.PIECES, Conduct.CHUNKS)
]
LONG_ANSWERS = [
    Case(Conduct.STOPPED_READER, 1500, answer_bytes=30_000),
    Case(Conduct.SLOW_READER, 300, answer_bytes=250_000),
    Case(Conduct.USUAL_AHEAD, 1500, answer_bytes=30_000, seconds=2 * PLAY_SECONDS),
    Case(Conduct.USUAL_AHEAD, 300, answer_bytes=250_000),
    Case(Conduct.SLOW_READER, 300, answer_bytes=2_500_000),
]


@pytest.mark.parametrize("case", EACH_AT_EACH_PLACE + OTHERS + FULL + LONG_ANSWERS, ids=str)
def test_ordinary_callers_are_served_beside_a_crowd(case, tmp_path):
    """Guards against processes that ran out of memory, and callers that got no turn."""

    async def scenario():
        async with rude_fleet(tmp_path) as fleet:
            crowd = fleet.crowd(case.conduct, case.connections, case.path, case.port)
            result = await fleet.play(
                crowd, seconds=case.seconds, answer_bytes=case.answer_bytes
            )
        print(f"{case}: {result}")
        (came,) = result.crowds
        assert came.connected + came.refused >= 0.9 * case.connections, came
        assert case.conduct is Conduct.SILENT or came.sent_bytes, came
        assert_ordinary_callers_were_served(result)

    run(scenario, seconds=120.0)


def test_the_most_that_all_connections_can_hold_is_below_the_memory(tmp_path):
    """Crowds that fill all connections of each port: bytes, requests, bodies and answers."""

    async def scenario():
        async with rude_fleet(tmp_path) as fleet:
            crowds = [
                fleet.crowd(Conduct.AHEAD, 350),
                fleet.crowd(Conduct.CHUNKS, 350),
                fleet.crowd(Conduct.STOPPED_BODY, 400),
                fleet.crowd(Conduct.FIELDS, 100),
                fleet.crowd(Conduct.CHUNKS, 300, port="peer"),
                fleet.crowd(Conduct.AHEAD, 150, HEALTH, "pages"),
                fleet.crowd(Conduct.SILENT, 300, "/", "control"),
            ]
            result = await fleet.play(*crowds, seconds=2 * PLAY_SECONDS)
        print(f"all at once: {result}")
        assert all(crowd.connected for crowd in result.crowds)
        assert not result.killed and not result.ended, result
        assert result.most_misses <= MAX_MISSES, result

    run(scenario, seconds=120.0)


def assert_ordinary_callers_were_served(result):
    assert not result.killed and not result.ended, result
    assert result.served[0] >= MIN_SERVED, result
    assert result.served[1] >= MIN_SERVED_ELSEWHERE, result
    assert result.most_misses <= MAX_MISSES, result
