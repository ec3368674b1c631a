"""Callers, which send requests to entries and record the outcome of each."""

import time
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from uuid import UUID

import aiohttp

from standins.cluster import HOST

ROUTES_HOST = "papers.example"  # of all routes


class Reported(Enum):
    """The outcome of a request as its answer reports it."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Request:
    """One request and its reported outcome.

    `once`: it must not run twice. `unexpected_answer` has the first 200 characters of an answer
    that does not match the request. `entry` is the instance that it was sent to, `sent_at` is
    in unix seconds.
    """

    request_id: str
    workspace: str
    service: str
    once: bool
    reported: Reported = Reported.UNKNOWN
    reason: str = ""
    unexpected_answer: str = ""
    elapsed_seconds: float = 0.0
    credential: str = ""
    entry: str = ""
    sent_at: float = 0.0
    kind: str = ""


def make_key(rng: Random, now: float) -> str:
    """Make a version 7 UUID: unix time in milliseconds, then random bits."""
    bits = (int(now * 1000) << 80) | rng.getrandbits(80)
    bits &= ~(0xF << 76) & ~(0x3 << 62)
    return str(UUID(int=bits | (0x7 << 76) | (0x2 << 62)))


@dataclass(slots=True)
class Caller:
    """Sends the requests of one workspace and keeps them.

    `by_routes`: to the routes interface, with the credential in the header `Key`, or without
    one if it is empty, and with a `Tenant` header that the entry must not pass on.
    """

    session: aiohttp.ClientSession
    workspace: str
    credential: str
    rng: Random
    requests: list[Request] = field(default_factory=list)
    by_routes: bool = False

    async def send(
        self,
        entry_port: int,
        service: str,
        kind: str,
        *,
        once: bool,
        key: str = "",
        deadline_ms: int = 5000,
        body: bytes = b"",
        entry: str = "",
    ) -> Request:
        """Send one request; returns it with its outcome."""
        request_id = f"{self.workspace}-{self.rng.getrandbits(64):016x}"
        request = Request(request_id, self.workspace, service, once, entry=entry, kind=kind)
        request.credential, request.sent_at = self.credential, time.time()
        self.requests.append(request)
        headers = {"x-request-id": request_id}
        if self.by_routes:
            headers |= {"host": ROUTES_HOST, "tenant": "forged"}
            headers |= {"key": self.credential} if self.credential else {}
        else:
            headers |= {
                "authorization": f"Bearer {self.credential}",
                "wheatslip-service": service,
                "wheatslip-kind": kind,
                "wheatslip-deadline-ms": str(deadline_ms),
            }
        if key:
            headers["wheatslip-key"] = key
        method = "POST" if once or body else "GET"
        path = f"/{service}/{kind}/" if self.by_routes else f"/{service}/{kind}"
        url = f"http://{HOST}:{entry_port}{path}"
        started_at = time.perf_counter()
        try:
            timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 5)
            async with self.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as response:
                self._record_outcome(request, response, await response.text(), len(body))
        except aiohttp.ClientConnectorError:
            request.reported, request.reason = Reported.NOT_RUN, "could not connect"
        except (aiohttp.ClientError, TimeoutError) as error:
            request.reported, request.reason = Reported.UNKNOWN, type(error).__name__
        request.elapsed_seconds = time.perf_counter() - started_at
        return request

    def _record_outcome(
        self, request: Request, response: aiohttp.ClientResponse, text: str, size: int
    ) -> None:
        outcome = response.headers.get("wheatslip-outcome", "")
        kind, _, request.reason = outcome.partition("; ")
        if kind == "not-run":
            request.reported = Reported.NOT_RUN
        elif kind != "answered":
            request.reported = Reported.UNKNOWN
        else:
            request.reported = Reported.ANSWERED
            expected = f" {request.workspace} {request.request_id} {size}\n"
            if response.status == 200 and not text.endswith(expected):
                request.unexpected_answer = text[:200]
