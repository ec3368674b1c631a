"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
from contextlib import suppress
from urllib.parse import parse_qs, unquote

from review.second.http import Ended, Message, encode, read_message

ROOT = "/wheatslip/objects/"
PAGE = 500


class Store:
    """One store. It answers linearizably, also stale reads."""

    def __init__(self) -> None:
        self.rev = 1
        self.era = 0
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ("", 0)

    async def listen(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def write(self, kind: str, name: str, spec: object) -> None:
        """Create or replace an object, as the operator does."""
        self._put(kind, name, {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, as the operator does."""
        self._delete(kind, name, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(Ended, ConnectionError, asyncio.CancelledError):
            while True:
                request = await read_message(reader, is_answer=False)
                status, answer = await self._answer(request)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, object]:
        path, _, query = request.target.partition("?")
        given = {key: values[0] for key, values in parse_qs(query).items()}
        kind, _, rest = path.removeprefix(ROOT).partition("/")
        name, _, part = rest.partition("/")
        name = unquote(name)
        if request.method == "GET":
            if name:
                found = self.objects.get((kind, name))
                return (200, found) if found else (404, None)
            if "watch" in given:
                return await self._watch(
                    kind, int(given["watch"]), int(given.get("wait_ms", "0"))
                )
            return 200, self._list(kind, given.get("after", ""))
        if request.method == "DELETE":
            return self._delete(kind, name, int(given.get("rev", "0")))
        sent = json.loads(request.body)
        return self._write(request.method, kind, name, part, sent)

    def _list(self, kind: str, after: str) -> object:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:PAGE]]
        return {"items": items, "more": len(names) > PAGE, "at": self.rev}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_ms / 1000
        while True:
            if since > self.rev:
                return 410, None
            events = [
                {"object": item, "gone": gone}
                for rev, event_kind, item, gone in self.events
                if event_kind == kind and rev > since
            ]
            if events or loop.time() >= until:
                return 200, {"events": events, "at": self.rev}
            changed = self._changed
            with suppress(TimeoutError):
                async with asyncio.timeout(until - loop.time()):
                    await changed.wait()

    def _write(
        self, method: str, kind: str, name: str, part: str, sent: dict
    ) -> tuple[int, object]:
        name = name or sent["metadata"]["name"]
        found = self.objects.get((kind, name))
        if method == "POST":
            if found is not None:
                return 409, found
            return 201, self._put(kind, name, {"spec": sent.get("spec")})
        if found is None:
            return 404, None
        rev = sent.get("metadata", {}).get("rev", 0)
        if rev and rev != found["metadata"]["rev"]:
            return 409, found
        field = "status" if part == "status" else "spec"
        if found[field] == sent.get(field):
            return 200, found
        return 200, self._put(kind, name, {field: sent.get(field)})

    def _put(self, kind: str, name: str, fields: dict) -> dict:
        self.rev += 1
        found = self.objects.get((kind, name))
        made = found["metadata"]["made"] if found else self.rev
        item = {
            "metadata": {
                "name": name,
                "rev": self.rev,
                "made": made,
                "finalizers": [],
                "deleting": False,
            },
            "spec": found["spec"] if found else None,
            "status": found["status"] if found else None,
        } | fields
        self.objects[kind, name] = item
        self._tell(kind, item, gone=False)
        return item

    def _delete(self, kind: str, name: str, rev: int) -> tuple[int, object]:
        found = self.objects.get((kind, name))
        if found is None:
            return 404, None
        if rev and rev != found["metadata"]["rev"]:
            return 409, found
        del self.objects[kind, name]
        self.rev += 1
        gone = found | {"metadata": found["metadata"] | {"rev": self.rev}}
        self._tell(kind, gone, gone=True)
        return 200, gone

    def _tell(self, kind: str, item: dict, *, gone: bool) -> None:
        self.events.append((self.rev, kind, item, gone))
        self._changed.set()
        self._changed = asyncio.Event()
