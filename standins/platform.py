"""Stand-in for the platform's object API: versions, conditional updates, watches, a call
budget, and faults that a test or the demo switches on. Speaks what docs/PLATFORM.md says.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from wheatslip.store.objectclient import WriteBody
from wheatslip.store.objects import Listing, StoredObject

KEPT_CHANGES = 1000
MAX_VALUE_BYTES = 1_000_000
# The rates of the users' store for some dozen instances, from their site sheets.
WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0


class Faults(msgspec.Struct):
    """What the stand-in does wrong. `delay` is in seconds; counts run down to 0."""

    down: bool = False
    delay: float = 0.0
    lose_write_answers: int = 0
    writes_per_second: float = WRITES_PER_SECOND


class Rate:
    """A token bucket of one second's size."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._filled = 0.0

    def take(self, per_second: float) -> bool:
        """Whether a call is within the rate."""
        now = time.monotonic()
        if self._tokens is None:
            self._tokens = per_second
        gained = (now - self._filled) * per_second
        self._tokens = min(per_second, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass
class Store:
    """The objects, with the latest changes in order. One version counts all kinds."""

    version: int = 0
    objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    changes: list[StoredObject] = field(default_factory=list)
    forgotten: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(
        self, kind: str, name: str, body: WriteBody, expected: int
    ) -> StoredObject | None:
        """The new object, or None if the version is not the expected one."""
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != expected:
            return None
        self.version += 1
        new = StoredObject(kind, name, self.version, body.value, body.write_id)
        self.objects[kind, name] = new
        await self._note(new)
        return new

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object; watchers see it with `deleted` set."""
        current = self.objects.pop((kind, name), None)
        if current is not None:
            self.version += 1
            gone = msgspec.structs.replace(current, version=self.version, deleted=True)
            await self._note(gone)

    def listing(self, kind: str) -> Listing:
        """All objects of a kind."""
        items = (item for (k, _), item in sorted(self.objects.items()) if k == kind)
        return Listing(self.version, tuple(items))

    def since(self, kind: str, version: int) -> Listing:
        """Changes of a kind after a version."""
        items = (item for item in self.changes if item.version > version and item.kind == kind)
        return Listing(self.version, tuple(items))

    async def _note(self, item: StoredObject) -> None:
        self.changes.append(item)
        if len(self.changes) > KEPT_CHANGES:
            self.forgotten = self.changes.pop(0).version
        async with self.changed:
            self.changed.notify_all()


class PlatformStandIn:
    """The HTTP face of the store."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.reads = Rate()
        self.writes = Rate()
        self.calls = {"read": 0, "write": 0}

    def app(self) -> web.Application:
        """The aiohttp application."""
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self._fault])
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_put("/stand-in/faults", self._set_faults)
        return app

    @web.middleware
    async def _fault(self, request: web.Request, handler):
        if request.path.startswith("/stand-in/"):
            return await handler(request)
        if self.faults.down:
            request.transport.abort()
            return web.Response(status=503)
        is_read = request.method == "GET"
        self.calls["read" if is_read else "write"] += 1
        rate, limit = (
            (self.reads, READS_PER_SECOND)
            if is_read
            else (self.writes, self.faults.writes_per_second)
        )
        if not rate.take(limit):
            return web.Response(status=429)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        response = await handler(request)
        if self.faults.down or (not is_read and self._loses_answer()):
            request.transport.abort()
        return response

    def _loses_answer(self) -> bool:
        if not self.faults.lose_write_answers:
            return False
        self.faults.lose_write_answers -= 1
        return True

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        since = request.query.get("since")
        if since is None:
            return _json(self.store.listing(kind))
        version = int(since)
        if version < self.store.forgotten or version > self.store.version:
            return web.Response(status=410)
        deadline = time.monotonic() + float(request.query.get("wait", "0"))
        found = self.store.since(kind, version)
        while not found.items and (left := deadline - time.monotonic()) > 0:
            await self._wait_for_change(left)
            found = self.store.since(kind, version)
        return _json(found)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self.store.changed:
                await self.store.changed.wait()
        except TimeoutError:
            pass

    async def _get(self, request: web.Request) -> web.Response:
        found = self.store.objects.get((request.match_info["kind"], request.match_info["name"]))
        return _json(found) if found else web.Response(status=404)

    async def _put(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        body = msgspec.json.decode(await request.read(), type=WriteBody)
        if len(bytes(body.value)) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        new = await self.store.put(kind, name, body, int(request.query["expected"]))
        if new is None:
            return _json(self.store.objects.get((kind, name)), status=409)
        return _json(new)

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        current = self.store.objects.get((kind, name))
        expected = request.query.get("expected")
        if current is not None and expected not in (None, str(current.version)):
            return _json(current, status=409)
        await self.store.delete(kind, name)
        return web.Response(status=204)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.Response(status=204)


def _json(value: object, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(status=status, body=body, content_type="application/json")


async def serve(host: str, port: int) -> tuple[web.AppRunner, int, PlatformStandIn]:
    """Start a stand-in; returns its runner, its port and itself."""
    stand_in = PlatformStandIn()
    runner = web.AppRunner(
        stand_in.app(), access_log=None, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0][1]
    return runner, bound, stand_in


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    _, port, _ = await serve("127.0.0.1", options.port)
    print(f"listening {port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main())
