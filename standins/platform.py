"""Stand-in for the platform's object API, which docs/PLATFORM.md describes.

It has versions, conditional updates, watches, call rate limits, and faults that tests and the
demo set.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass, field

import msgspec
from aiohttp import web
from wheatslip.store.objectclient import WriteBody
from wheatslip.store.objects import Listing, StoredObject

MAX_KEPT_CHANGES = 1000
MAX_VALUE_BYTES = 1_000_000
# Rate limits of the users' store for a few dozen instances, from the users' site sheets.
WRITES_PER_SECOND = 400.0
READS_PER_SECOND = 2000.0


class Faults(msgspec.Struct):
    """The faults of the stand-in.

    `delay` is in seconds, for each call. `lose_write_answers` counts down to 0.
    """

    down: bool = False
    delay: float = 0.0
    lose_write_answers: int = 0
    writes_per_second: float = WRITES_PER_SECOND


class TokenBucket:
    """A token bucket that holds the calls of one second."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._filled_at = 0.0

    def take(self, per_second: float) -> bool:
        """Take a token for a call; returns False if the rate is exceeded."""
        now = time.monotonic()
        if self._tokens is None:
            self._tokens = per_second
        refill = (now - self._filled_at) * per_second
        self._tokens = min(per_second, self._tokens + refill)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass
class Store:
    """The objects and the latest changes in order. All kinds share one version."""

    version: int = 0
    objects: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    changes: list[StoredObject] = field(default_factory=list)
    last_dropped_version: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def put(
        self, kind: str, name: str, body: WriteBody, expected: int
    ) -> StoredObject | None:
        """Write an object; returns None if its version is not `expected`."""
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != expected:
            return None
        self.version += 1
        new = StoredObject(kind, name, self.version, body.value, body.write_id)
        self.objects[kind, name] = new
        await self._record_change(new)
        return new

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; watches return it with `deleted` set."""
        current = self.objects.pop((kind, name), None)
        if current is not None:
            self.version += 1
            tombstone = msgspec.structs.replace(current, version=self.version, deleted=True)
            await self._record_change(tombstone)

    def listing(self, kind: str) -> Listing:
        """All objects of a kind, sorted by name."""
        items = (item for (k, _), item in sorted(self.objects.items()) if k == kind)
        return Listing(self.version, tuple(items))

    def changes_since(self, kind: str, version: int) -> Listing:
        """Changes of a kind after a version."""
        items = (item for item in self.changes if item.version > version and item.kind == kind)
        return Listing(self.version, tuple(items))

    async def _record_change(self, item: StoredObject) -> None:
        self.changes.append(item)
        if len(self.changes) > MAX_KEPT_CHANGES:
            self.last_dropped_version = self.changes.pop(0).version
        async with self.changed:
            self.changed.notify_all()


class PlatformStandIn:
    """HTTP server of the store."""

    def __init__(self) -> None:
        self.store = Store()
        self.faults = Faults()
        self.read_bucket = TokenBucket()
        self.write_bucket = TokenBucket()
        self.calls = {"read": 0, "write": 0}

    def app(self) -> web.Application:
        """Create the aiohttp application."""
        app = web.Application(
            client_max_size=2 * MAX_VALUE_BYTES, middlewares=[self._inject_faults]
        )
        app.router.add_get("/objects/{kind}", self._list)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_put("/stand-in/faults", self._set_faults)
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler):
        if request.path.startswith("/stand-in/"):
            return await handler(request)
        if self.faults.down:
            request.transport.abort()
            return web.Response(status=503)
        is_read = request.method == "GET"
        self.calls["read" if is_read else "write"] += 1
        bucket, limit = (
            (self.read_bucket, READS_PER_SECOND)
            if is_read
            else (self.write_bucket, self.faults.writes_per_second)
        )
        if not bucket.take(limit):
            return web.Response(status=429)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        response = await handler(request)
        if self.faults.down or (not is_read and self._take_lost_answer()):
            request.transport.abort()
        return response

    def _take_lost_answer(self) -> bool:
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
        if version < self.store.last_dropped_version or version > self.store.version:
            return web.Response(status=410)
        deadline = time.monotonic() + float(request.query.get("wait", "0"))
        changes = self.store.changes_since(kind, version)
        while not changes.items and (remaining := deadline - time.monotonic()) > 0:
            await self._wait_for_change(remaining)
            changes = self.store.changes_since(kind, version)
        return _json(changes)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self.store.changed:
                await self.store.changed.wait()
        except TimeoutError:
            pass

    async def _get(self, request: web.Request) -> web.Response:
        stored = self.store.objects.get(
            (request.match_info["kind"], request.match_info["name"])
        )
        return _json(stored) if stored else web.Response(status=404)

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
    """Start a stand-in; returns its runner, its port and the stand-in."""
    stand_in = PlatformStandIn()
    runner = web.AppRunner(
        stand_in.app(), access_log=None, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    return runner, bound_port, stand_in


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    _, port, _ = await serve("127.0.0.1", options.port)
    print(f"listening {port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main())
