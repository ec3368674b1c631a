"""Client of the platform's object API, over plain HTTP with JSON; see docs/PLATFORM.md.

Every write carries a write id, so that one whose answer was lost is read back and never
repeated blindly.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wheatslip.store.backoff import Backoff
from wheatslip.store.objects import (
    WATCH_SECONDS,
    Conflict,
    Listing,
    ReadError,
    StoredObject,
    TooOld,
    Unavailable,
    WriteError,
)

if TYPE_CHECKING:
    import aiohttp

# Seconds without a byte of an answer, besides what a watch waits.
REQUEST_TIMEOUT = 2.0
# Seconds for a whole answer, besides: a bundle of 16 MB at 1 MB/s.
WHOLE_ANSWER_TIMEOUT = 16.0
READ_BACK_TRIES = 5  # of a write whose answer was lost


class WriteBody(msgspec.Struct, frozen=True):
    """The body of a conditional update."""

    write_id: str
    value: msgspec.Raw


class ObjectClient:
    """Reads, conditional updates and watches of the platform's objects."""

    def __init__(self, address: str, rng: Random):
        """`address` is `HOST:PORT` by IP number."""
        self._base = f"http://{address}"
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def get(
        self, kind: str, name: str, *, stale_ok: bool = False
    ) -> Result[StoredObject | None, Unavailable]:
        """One object, or None if it does not exist; never a stale one."""
        answer = await self._call("GET", f"/objects/{kind}/{name}")
        match answer:
            case Ok((200, body)):
                return Ok(msgspec.json.decode(body, type=StoredObject))
            case Ok((404, _)):
                return Ok(None)
        return Err(_unavailable(answer))

    async def list(self, kind: str, *, stale_ok: bool = False) -> Result[Listing, Unavailable]:
        """All objects of a kind, never stale ones."""
        answer = await self._call("GET", f"/objects/{kind}")
        match answer:
            case Ok((200, body)):
                listing = msgspec.json.decode(body, type=Listing)
                return Ok(msgspec.structs.replace(listing, whole=True))
        return Err(_unavailable(answer))

    async def changes(
        self, kind: str, since: int, wait: float = WATCH_SECONDS
    ) -> Result[Listing, ReadError]:
        """Objects of a kind changed after version `since`; waits up to `wait` seconds."""
        path = f"/objects/{kind}?since={since}&wait={wait}"
        answer = await self._call("GET", path, timeout=wait + REQUEST_TIMEOUT)
        match answer:
            case Ok((200, body)):
                return Ok(msgspec.json.decode(body, type=Listing))
            case Ok((410, _)):
                return Err(TooOld())
        return Err(_unavailable(answer))

    async def put(
        self, kind: str, name: str, value: object, expected: int
    ) -> Result[StoredObject, WriteError]:
        """Write an object that stands at version `expected` (0: does not exist yet).

        If the answer is lost the object is read back; `Unavailable` means that even
        this could not tell.
        """
        write_id = f"{self._rng.getrandbits(128):032x}"
        encoded = msgspec.Raw(msgspec.json.encode(value))
        body = msgspec.json.encode(WriteBody(write_id, encoded))
        answer = await self._call("PUT", f"/objects/{kind}/{name}?expected={expected}", body)
        match answer:
            case Ok((200, data)):
                return Ok(msgspec.json.decode(data, type=StoredObject))
            case Ok((409, data)):
                return Err(Conflict(msgspec.json.decode(data, type=StoredObject | None)))
            case Ok((429, _)):
                return Err(Unavailable("over the call rate"))
        return await self._read_back(kind, name, write_id, expected)

    async def delete(self, kind: str, name: str, expected: int) -> Result[None, WriteError]:
        """Remove an object that stands at version `expected`; one that is gone is fine."""
        answer = await self._call("DELETE", f"/objects/{kind}/{name}?expected={expected}")
        match answer:
            case Ok((204 | 404, _)):
                return Ok(None)
            case Ok((409, data)):
                return Err(Conflict(msgspec.json.decode(data, type=StoredObject | None)))
        return Err(_unavailable(answer))

    async def _read_back(
        self, kind: str, name: str, write_id: str, expected: int
    ) -> Result[StoredObject, WriteError]:
        backoff = Backoff(self._rng)
        for _ in range(READ_BACK_TRIES):
            await asyncio.sleep(backoff.next())
            match await self.get(kind, name):
                case Ok(StoredObject() as found) if found.write_id == write_id:
                    return Ok(found)
                case Ok(found) if (found.version if found else 0) != expected:
                    return Err(Conflict(found))
        return Err(Unavailable("the answer to a write was lost; its effect is unknown"))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = REQUEST_TIMEOUT,
    ) -> Result[tuple[int, bytes], Unavailable]:
        # Imported when it is needed: a daemon on another store starts without it.
        import aiohttp

        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.calls += 1
        limit = aiohttp.ClientTimeout(
            total=timeout + WHOLE_ANSWER_TIMEOUT,
            sock_connect=REQUEST_TIMEOUT,
            sock_read=timeout,
        )
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=limit
            ) as response:
                return Ok((response.status, await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            call = f"{method} {path.partition('?')[0]}"
            return Err(Unavailable(f"{type(error).__name__}: {error}", call))


def _unavailable(answer: Result[tuple[int, bytes], Unavailable]) -> Unavailable:
    match answer:
        case Err(trouble):
            return trouble
        case Ok((status, body)):
            return Unavailable(f"HTTP {status}: {body[:200].decode(errors='replace')}")
    raise AssertionError(answer)
