"""Callers: send requests to entries and write down what they were told."""

import time
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from uuid import UUID

import aiohttp

from standins.cluster import HOST


class Told(Enum):
    """What a caller was told of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Asked:
    """One request and what was told of it. `took` in seconds."""

    request_id: str
    workspace: str
    service: str
    once: bool
    told: Told = Told.UNKNOWN
    reason: str = ""
    wrong: str = ""
    took: float = 0.0


def make_key(rng: Random, now: float) -> str:
    """A version 7 UUID, as callers make them: unix milliseconds, then random bits."""
    bits = (int(now * 1000) << 80) | rng.getrandbits(80)
    bits &= ~(0xF << 76) & ~(0x3 << 62)
    return str(UUID(int=bits | (0x7 << 76) | (0x2 << 62)))


@dataclass(slots=True)
class Caller:
    """Sends requests of one workspace."""

    session: aiohttp.ClientSession
    workspace: str
    credential: str
    rng: Random
    asked: list[Asked] = field(default_factory=list)

    async def ask(
        self,
        entry_port: int,
        service: str,
        kind: str,
        *,
        once: bool,
        key: str = "",
        deadline_ms: int = 5000,
        body: bytes = b"",
    ) -> Asked:
        """Send one request and note the outcome."""
        request_id = f"{self.workspace}-{self.rng.getrandbits(64):016x}"
        asked = Asked(request_id, self.workspace, service, once)
        self.asked.append(asked)
        headers = {
            "authorization": f"Bearer {self.credential}",
            "wheatslip-service": service,
            "wheatslip-kind": kind,
            "wheatslip-deadline-ms": str(deadline_ms),
            "x-request-id": request_id,
        }
        if key:
            headers["wheatslip-key"] = key
        method = "POST" if once or body else "GET"
        url = f"http://{HOST}:{entry_port}/{service}/{kind}"
        started = time.perf_counter()
        try:
            timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 5)
            async with self.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as response:
                self._note(asked, response, await response.text(), len(body))
        except aiohttp.ClientConnectorError:
            asked.told, asked.reason = Told.NOT_RUN, "could not connect"
        except (aiohttp.ClientError, TimeoutError) as error:
            asked.told, asked.reason = Told.UNKNOWN, type(error).__name__
        asked.took = time.perf_counter() - started
        return asked

    def _note(
        self, asked: Asked, response: aiohttp.ClientResponse, text: str, size: int
    ) -> None:
        outcome = response.headers.get("wheatslip-outcome", "")
        word, _, asked.reason = outcome.partition("; ")
        if word == "not-run":
            asked.told = Told.NOT_RUN
        elif word != "answered":
            asked.told = Told.UNKNOWN
        else:
            asked.told = Told.ANSWERED
            expected = f" {asked.workspace} {asked.request_id} {size}\n"
            if response.status == 200 and not text.endswith(expected):
                asked.wrong = text[:200]
