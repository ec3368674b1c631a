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

    def __str__(self):
        place = self.path.strip("/").replace("/", "-")
        size = f"-{self.answer_bytes}" if self.answer_bytes else ""
        return f"{self.conduct}-{self.connections}-{self.port}-{place}{size}"


AT_DOOR = [
    Case(conduct, connections, path)
    for conduct, connections in (
        (Conduct.BODIES, 80),
        (Conduct.PIECES, 80),
        (Conduct.CHUNKS, 250),
        (Conduct.OVER_LIMIT, 80),
        (Conduct.FIELDS, 150),
        (Conduct.AHEAD, 400),
        (Conduct.USUAL_AHEAD, 300),
        (Conduct.SLOW_HEAD, 1500),
        (Conduct.STOPPED_HEAD, 1500),
        (Conduct.SLOW_BODY, 1500),
        (Conduct.STOPPED_BODY, 1500),
        (Conduct.SLOW_READER, 300),
        (Conduct.SILENT, 4500),
    )
    for path in (READ_PATH, WRITE_PATH, NO_ROUTE)
    if path != WRITE_PATH or conduct in (Conduct.CHUNKS, Conduct.BODIES, Conduct.STOPPED_BODY)
]
AT_OTHER_PORTS = [
    Case(conduct, connections, path, port)
    for port, path in (("pages", HEALTH), ("peer", READ_PATH))
    for conduct, connections in (
        (Conduct.BODIES, 80),
        (Conduct.CHUNKS, 250),
        (Conduct.OVER_LIMIT, 80),
        (Conduct.FIELDS, 150),
        (Conduct.AHEAD, 400),
        (Conduct.STOPPED_HEAD, 1500),
        (Conduct.STOPPED_BODY, 1500),
        (Conduct.SILENT, 4500),
    )
] + [
    Case(Conduct.SLOW_READER, 300, STATUS, "pages"),
    Case(Conduct.AHEAD, 400, STATUS, "pages"),
    Case(Conduct.SILENT, 4500, "/", "control"),
    Case(Conduct.AHEAD, 400, "/", "control"),
    Case(Conduct.OVER_LIMIT, 80, "/", "control"),
]


LONG_ANSWERS = [
    Case(Conduct.SLOW_READER, 300, answer_bytes=250_000),
    Case(Conduct.USUAL_AHEAD, 300, answer_bytes=250_000),
    Case(Conduct.SLOW_READER, 300, answer_bytes=2_500_000),
]


@pytest.mark.parametrize("case", AT_DOOR + LONG_ANSWERS + AT_OTHER_PORTS, ids=str)
def test_ordinary_callers_are_served_beside_a_crowd(case, tmp_path):
    """Guards against processes that ran out of memory, and callers that got no turn."""

    async def scenario():
        async with rude_fleet(tmp_path) as fleet:
            result = await fleet.play(
                case.conduct,
                case.connections,
                PLAY_SECONDS,
                path=case.path,
                port=case.port,
                answer_bytes=case.answer_bytes,
            )
        print(f"{case}: {result}")
        crowd = result.crowd
        assert crowd.connected + crowd.refused >= 0.9 * case.connections, crowd
        assert case.conduct is Conduct.SILENT or crowd.sent_bytes, crowd
        assert not result.killed and not result.ended, result
        assert result.served[0] >= MIN_SERVED, result
        assert result.served[1] >= MIN_SERVED_ELSEWHERE, result
        assert result.most_misses <= MAX_MISSES, result

    run(scenario, seconds=120.0)
