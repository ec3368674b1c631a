"""Case 1: after a late second answer, a health answer is taken for a request's answer."""

import asyncio
import itertools
from pathlib import Path

from review.case import run_case
from review.client import Reply, ask
from review.configuration import configuration, route
from review.fleet import Fleet
from review.record import Record

HOST = "vaktmester.example"
SERVICE = "vaktmester"
ORDER, LOOKUP = "/work-order/", "/unit-lookup/"
LOAD_SECONDS = 30.0
REQUESTS_PER_SECOND = 45.0  # at all machines together
SURPLUS_SHARE = 0.03  # of the answers of each server that come twice
UNSAFE_EVERY = 2  # of the requests
WORK_SECONDS = 0.15
DEADLINE_SECONDS = 2.0
PROMISES = (408, 421, 429, 503)  # that a request has not run


async def play(record: Record, has_trouble: bool) -> bool:
    """Send requests while servers answer some of them twice."""
    fleet = Fleet(record)
    try:
        await fleet.open_store()
        routes = {
            "lookup": route(HOST, LOOKUP, "safe", SERVICE, timeout_s=1.0, target_s=0.4),
            "order": route(HOST, ORDER, "unsafe", SERVICE, timeout_s=1.0, target_s=0.4),
        }
        fleet.store.write("config", "main", configuration(1, routes, [SERVICE]))
        for zone in ("sone-a", "sone-b", "sone-c"):
            machine = fleet.add(f"sidecar-{zone}-1", zone, SERVICE, slots=18)
            machine.upstream.is_noisy = True
            machine.upstream.work_s = WORK_SECONDS
            machine.upstream.surplus_share = SURPLUS_SHARE if has_trouble else 0.0
        await fleet.start()
        await asyncio.sleep(2.0)
        replies = await _send_requests(fleet)
        return _judge(fleet, replies)
    finally:
        await fleet.close()


async def _send_requests(fleet: Fleet) -> dict[str, tuple[str, Reply]]:
    """Send requests to the machines in turn; the replies by request id, with the method."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LOAD_SECONDS
    machines = itertools.cycle(fleet.machines)
    tasks = []
    for number in itertools.count():
        if loop.time() >= end:
            break
        is_unsafe = number % UNSAFE_EVERY == 0
        method, path = (
            ("PUT", f"{ORDER}{number}") if is_unsafe else ("GET", f"{LOOKUP}{number}")
        )
        body = b"order" if is_unsafe else b""
        address = next(machines).outbound
        tasks.append(
            (
                method,
                asyncio.create_task(
                    ask(
                        fleet.record,
                        address,
                        path,
                        host=HOST,
                        method=method,
                        body=body,
                        deadline_s=DEADLINE_SECONDS,
                    )
                ),
            )
        )
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    replies = [(method, await task) for method, task in tasks]
    return {reply.request_id: (method, reply) for method, reply in replies}


def _judge(fleet: Fleet, replies: dict[str, tuple[str, Reply]]) -> bool:
    """Check MIXED, REFUSED and TWICE; returns whether MIXED held."""
    record = fleet.record
    runs: dict[str, list[str]] = {}
    for machine in fleet.machines:
        for run in machine.upstream.runs:
            runs.setdefault(run.request_id, []).append(machine.upstream.server_id)
    mixed = refused = twice = 0
    for request_id, (method, reply) in replies.items():
        servers = runs.get(request_id, [])
        if 200 <= reply.status < 300 and not _is_from(servers, reply):
            mixed += 1
            record.add(
                f"MIXED: {method} {request_id} got {reply.status} with stamp "
                f"{reply.headers.get('response-stamp')} and body {reply.body!r}; "
                f"ran at {servers}"
            )
        if method == "PUT" and servers and reply.status in PROMISES:
            refused += 1
            record.add(f"REFUSED: {request_id} got {reply.status}, but ran at {servers}")
        if method == "PUT" and len(servers) > 1:
            twice += 1
            record.add(f"TWICE: {request_id} ran at {servers}")
    surplus = sum(machine.upstream.surplus_sent for machine in fleet.machines)
    served = sum(200 <= reply.status < 300 for _, reply in replies.values())
    summary = (
        f"{len(replies)} requests, {served} got a 2xx; {surplus} second answers sent; "
        f"MIXED {mixed}, REFUSED {refused}, TWICE {twice}"
    )
    record.add(summary)
    print(summary)
    if 2 * served < len(replies):
        raise RuntimeError("too few requests were served to judge the others")
    return mixed == 0


def _is_from(servers: list[str], reply: Reply) -> bool:
    """Whether a success has the stamp and the whole body of a server that ran the request."""
    stamps = [f"{server}.{reply.request_id}" for server in servers]
    is_whole = reply.body.startswith(reply.request_id.encode() + b":")
    return reply.headers.get("response-stamp") in stamps and is_whole


run_case(Path(__file__).parent, play)
