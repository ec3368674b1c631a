"""An object at the platform that has the name of this daemon; only this daemon writes it."""

import msgspec
from result import Err, Ok, Result
from wheatslip.store.objects import Conflict, ObjectStore, StoredObject, Unavailable

from wheatslipd.feed.access import log_unavailable


class OwnObject:
    """Writes and deletes the object, and knows its version."""

    def __init__(self, store: ObjectStore, kind: str, name: str):
        self._store = store
        self._kind = kind
        self._name = name
        self._version = 0  # 0 if the object does not exist

    def adopt(self, existing: StoredObject) -> None:
        """Replace this version of the object with the next write."""
        self._version = existing.version

    async def write(self, value: msgspec.Struct) -> Result[None, StoredObject | None]:
        """Write once. The error is the object that was there instead, for the caller to merge
        before it tries again: the response to an earlier write was lost, or an earlier process
        wrote it. It is None if there is nothing to merge.
        """
        match await self._store.put(self._kind, self._name, value, self._version):
            case Ok(stored):
                self._version = stored.version
                return Ok(None)
            case Err(Conflict(None)):
                self._version = 0
            case Err(Conflict(StoredObject() as existing)):
                self.adopt(existing)
                return Err(existing)
            case Err(Unavailable() as unavailable):
                log_unavailable(unavailable)
        return Err(None)

    async def delete(self) -> bool:
        """Delete the object once; return False if a retry is needed."""
        if not self._version:
            return True
        match await self._store.delete(self._kind, self._name, self._version):
            case Ok(_):
                self._version = 0
                return True
            case Err(Conflict(StoredObject() as existing)):
                self.adopt(existing)
            case Err(Unavailable() as unavailable):
                log_unavailable(unavailable)
        return False
