"""What operators do with bundles at the platform: propose, sign off, roll out.

All by conditional updates: of two operators who roll out at the same moment one succeeds, and
the other gets the version that did (`Beaten`).
"""

from dataclasses import dataclass

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result

from wheatslip.config.bundle import Bundle, decode_bundle
from wheatslip.config.deltas import delta_between
from wheatslip.config.head import (
    BUNDLE_KIND,
    DELTA_KIND,
    HEAD_KIND,
    HEAD_NAME,
    Head,
    bundle_name,
)
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.signing import Keyring, sign, verify
from wheatslip.store.objectclient import ObjectClient
from wheatslip.store.objects import Conflict, StoredObject, Unavailable

SIGN_TRIES = 5  # of adding a signature while others add theirs


@dataclass(frozen=True, slots=True)
class Refused:
    """The step was not taken; `why` is a sentence for the operator."""

    why: str


@dataclass(frozen=True, slots=True)
class Beaten:
    """Another version came into force first."""

    head: Head


ReleaseError = Refused | Beaten | Unavailable


@dataclass(frozen=True, slots=True)
class Proposal:
    """A bundle at the platform, with who signed it so far."""

    bundle: Bundle
    signed: SignedBundle
    stored: StoredObject

    @property
    def signers(self) -> list[str]:
        """The operators whose signatures stand there, good or not."""
        return [signature.operator for signature in self.signed.signatures]


class Releases:
    """The steps of a release, for one operator."""

    def __init__(self, client: ObjectClient, keyring: Keyring):
        self._client = client
        self._keyring = keyring

    async def head(self) -> Result[Head | None, Unavailable]:
        """The version in force, None before the first."""
        answer = await self._client.get(HEAD_KIND, HEAD_NAME)
        return answer.map(lambda stored: _as_head(stored) if stored else None)

    async def proposals(self) -> Result[list[Proposal], Unavailable]:
        """Every bundle at the platform, oldest version first."""
        match await self._client.list(BUNDLE_KIND):
            case Ok(listing):
                return Ok([p for p in map(_as_proposal, listing.items) if p is not None])
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def propose(self, bundle: Bundle) -> Result[Proposal, ReleaseError]:
        """Put a bundle up for sign-off. The same one again is no error."""
        signed = SignedBundle(bundle.canonical().decode())
        name = bundle_name(bundle.version, bundle.digest())
        answer = await self._client.put(BUNDLE_KIND, name, signed, expected=0)
        if isinstance(answer, Ok):
            return Ok(Proposal(bundle, signed, answer.ok_value))
        match answer.err_value:
            case Unavailable() as trouble:
                return Err(trouble)
            case Conflict(StoredObject() as current):
                return _found(current, bundle.version)
        return Err(Refused(f"version {bundle.version} changed while it was written"))

    async def sign(
        self, version: int, digest: str, operator: str, key: Ed25519PrivateKey
    ) -> Result[Proposal, ReleaseError]:
        """Add an operator's signature to a proposal."""
        for _ in range(SIGN_TRIES):
            loaded = await self._load(version, digest)
            if isinstance(loaded, Err):
                return loaded
            proposal = loaded.ok_value
            others = [s for s in proposal.signed.signatures if s.operator != operator]
            signatures = (*others, sign(proposal.bundle, operator, key))
            signed = SignedBundle(proposal.signed.body, signatures)
            stored = proposal.stored
            answer = await self._client.put(stored.kind, stored.name, signed, stored.version)
            if isinstance(answer, Ok):
                return Ok(Proposal(proposal.bundle, signed, answer.ok_value))
            if isinstance(answer.err_value, Unavailable):
                return Err(answer.err_value)
            # Another operator signed in between: read again.
        return Err(Refused(f"version {version} changed {SIGN_TRIES} times meanwhile"))

    async def roll_out(self, version: int, digest: str) -> Result[Head, ReleaseError]:
        """Bring a signed-off bundle in force, as the next after the present one."""
        loaded = await self._load(version, digest)
        if isinstance(loaded, Err):
            return loaded
        proposal = loaded.ok_value
        checked = verify(proposal.signed, self._keyring)
        if isinstance(checked, Err):
            return Err(Refused(f"version {version}: {checked.err_value}"))
        return await self._move_head(Head(version, proposal.bundle.digest()), proposal)

    async def _move_head(self, new: Head, proposal: Proposal) -> Result[Head, ReleaseError]:
        answer = await self._client.get(HEAD_KIND, HEAD_NAME)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        stored = answer.ok_value
        current = _as_head(stored) if stored else Head(0, "")
        if current == new:
            return Ok(new)
        if new.version != current.version + 1:
            return Err(Beaten(current))
        await self._store_delta(current, new, proposal)
        expected = stored.version if stored else 0
        written = await self._client.put(HEAD_KIND, HEAD_NAME, new, expected)
        if isinstance(written, Ok):
            return Ok(new)
        match written.err_value:
            case Unavailable() as trouble:
                return Err(trouble)
            case Conflict(StoredObject() as found):
                winner = _as_head(found)
                return Ok(new) if winner == new else Err(Beaten(winner))
        return Err(Refused("the head vanished while it was moved"))

    async def _store_delta(self, current: Head, new: Head, proposal: Proposal) -> None:
        """Store what differs from the version in force, for those who have that one.

        Only a saving: where it is missing, the whole bundle is read, so errors do not matter.
        """
        loaded = await self._load(current.version, current.digest)
        if isinstance(loaded, Err):
            return
        old = loaded.ok_value.bundle
        delta = delta_between(old, proposal.bundle, new, proposal.signed.signatures)
        name = bundle_name(new.version, new.digest)
        await self._client.put(DELTA_KIND, name, delta, expected=0)

    async def _load(self, version: int, digest: str) -> Result[Proposal, ReleaseError]:
        name = bundle_name(version, digest)
        answer = await self._client.get(BUNDLE_KIND, name)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        if answer.ok_value is None:
            return Err(Refused(f"no bundle {name} at the platform"))
        return _found(answer.ok_value, version)


def _as_head(stored: StoredObject) -> Head:
    return msgspec.json.decode(stored.value, type=Head)


def _found(stored: StoredObject, version: int) -> Result[Proposal, ReleaseError]:
    proposal = _as_proposal(stored)
    if proposal is None or proposal.bundle.version != version:
        return Err(Refused(f"the object {stored.name} is not a bundle of version {version}"))
    return Ok(proposal)


def _as_proposal(stored: StoredObject) -> Proposal | None:
    try:
        signed = msgspec.json.decode(stored.value, type=SignedBundle)
    except msgspec.DecodeError:
        return None
    match decode_bundle(signed.body.encode()):
        case Ok(bundle):
            return Proposal(bundle, signed, stored)
    return None
