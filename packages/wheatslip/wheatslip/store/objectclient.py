"""Client of the platform's object API, over plain HTTP with JSON; see docs/PLATFORM.md.

Every update carries a write id. If its response is lost, the client reads the object back and
compares the id instead of repeating the update.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from wheatslip.decoding import (
    Int64,
    decode_json,
    decode_json_or_blank,
    split_json_array,
    split_json_object,
)
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

IDLE_TIMEOUT_SECONDS = 2.0  # without a byte of the response; a watch adds its wait
TRANSFER_TIMEOUT_SECONDS = 16.0  # added for the whole response: 16 MB at 1 MB/s
CONTENT_FIELD = "value"  # of a stored object
MAX_READ_BACKS = 5  # reads of an object after the response to its update was lost


class WriteBody(msgspec.Struct, frozen=True):
    """The body of a conditional update."""

    write_id: str
    value: msgspec.Raw


class ObjectClient:
    """Reads, updates and watches objects. Its reads are never stale, whatever `stale_ok` is."""

    def __init__(self, address: str, rng: Random):
        """`address` is `HOST:PORT`, with the host as an IP address."""
        self._base = f"http://{address}"
        self._rng = rng
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def get(
        self, kind: str, name: str, *, stale_ok: bool = False
    ) -> Result[StoredObject | None, Unavailable]:
        answer = await self._send_request("GET", f"/objects/{kind}/{name}")
        match answer:
            case Ok((200, body)):
                return _decode_stored(body)
            case Ok((404, _)):
                return Ok(None)
        return Err(_unavailable(answer))

    async def list(self, kind: str, *, stale_ok: bool = False) -> Result[Listing, Unavailable]:
        answer = await self._send_request("GET", f"/objects/{kind}")
        match answer:
            case Ok((200, body)):
                return _decode_listing(body).map(
                    lambda listing: msgspec.structs.replace(listing, whole=True)
                )
        return Err(_unavailable(answer))

    async def changes(
        self, kind: str, since: int, wait: float = WATCH_SECONDS
    ) -> Result[Listing, ReadError]:
        path = f"/objects/{kind}?since={since}&wait={wait}"
        answer = await self._send_request("GET", path, timeout=wait + IDLE_TIMEOUT_SECONDS)
        match answer:
            case Ok((200, body)):
                return _decode_listing(body)
            case Ok((410, _)):
                return Err(TooOld())
        return Err(_unavailable(answer))

    async def put(
        self, kind: str, name: str, value: object, expected: int
    ) -> Result[StoredObject, WriteError]:
        """Writes an object if its version is `expected` (0: it does not exist yet).

        If the response is lost, the object is read back. `Unavailable` means that the call rate
        was exceeded, or that it could not be determined whether the write took effect.
        """
        write_id = f"{self._rng.getrandbits(128):032x}"
        encoded = msgspec.Raw(msgspec.json.encode(value))
        body = msgspec.json.encode(WriteBody(write_id, encoded))
        answer = await self._send_request(
            "PUT", f"/objects/{kind}/{name}?expected={expected}", body
        )
        match answer:
            case Ok((200, data)):
                return _decode_stored(data)
            case Ok((409, data)):
                return _decode_conflict(data)
            case Ok((429, _)):
                return Err(Unavailable("call rate limit exceeded"))
        return await self._read_back(kind, name, write_id, expected)

    async def delete(self, kind: str, name: str, expected: int) -> Result[None, WriteError]:
        """Deletes an object if its version is `expected`; succeeds if it does not exist."""
        answer = await self._send_request(
            "DELETE", f"/objects/{kind}/{name}?expected={expected}"
        )
        match answer:
            case Ok((204 | 404, _)):
                return Ok(None)
            case Ok((409, data)):
                return _decode_conflict(data)
        return Err(_unavailable(answer))

    async def _read_back(
        self, kind: str, name: str, write_id: str, expected: int
    ) -> Result[StoredObject, WriteError]:
        backoff = Backoff(self._rng)
        for _ in range(MAX_READ_BACKS):
            await asyncio.sleep(backoff.next())
            match await self.get(kind, name):
                case Ok(StoredObject() as stored) if stored.write_id == write_id:
                    return Ok(stored)
                case Ok(stored) if (stored.version if stored else 0) != expected:
                    return Err(Conflict(stored))
        return Err(Unavailable("response to a write lost; unknown whether it took effect"))

    async def _send_request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout: float = IDLE_TIMEOUT_SECONDS,
    ) -> Result[tuple[int, bytes], Unavailable]:
        # Imported lazily: a daemon with another store does not need aiohttp.
        import aiohttp

        if self._session is None:
            self._session = aiohttp.ClientSession()
        self.calls += 1
        timeouts = aiohttp.ClientTimeout(
            total=timeout + TRANSFER_TIMEOUT_SECONDS,
            sock_connect=IDLE_TIMEOUT_SECONDS,
            sock_read=timeout,
        )
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=timeouts
            ) as response:
                return Ok((response.status, await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            call = f"{method} {path.partition('?')[0]}"
            return Err(Unavailable(f"{type(error).__name__}: {error}", call))


def _unavailable(answer: Result[tuple[int, bytes], Unavailable]) -> Unavailable:
    match answer:
        case Err(error):
            return error
        case Ok((status, body)):
            return Unavailable(f"HTTP {status}: {body[:200].decode(errors='replace')}")
    raise AssertionError(answer)


def _decode_stored(body: bytes) -> Result[StoredObject, Unavailable]:
    return decode_json_or_blank(body, StoredObject, CONTENT_FIELD).map_err(_unreadable)


def _decode_conflict(body: bytes) -> Err[WriteError]:
    if body.strip() == b"null":
        return Err(Conflict(None))
    match _decode_stored(body):
        case Ok(current):
            return Err(Conflict(current))
        case Err(unavailable):
            return Err(unavailable)
    raise AssertionError


def _decode_listing(body: bytes) -> Result[Listing, Unavailable]:
    """Decode a listing; an object that can't be decoded costs itself only."""
    decoded = decode_json(body, Listing)
    if isinstance(decoded, Ok):
        return decoded
    members = split_json_object(body)
    version = decode_json(members.get("version", b""), Int64)
    if isinstance(version, Err):
        return Err(_unreadable(decoded.err_value))
    objects = map(_decode_stored, split_json_array(members.get("items", b"[]")))
    return Ok(
        Listing(version.ok_value, tuple(one.ok_value for one in objects if isinstance(one, Ok)))
    )


def _unreadable(problem: str) -> Unavailable:
    return Unavailable(f"unreadable response: {problem}")
