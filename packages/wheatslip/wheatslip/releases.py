"""What operators do with bundles at the platform: propose, sign off, roll out.

All by conditional updates, so that of two operators who push at the same moment one wins
and the other is told what beat it.
"""

from dataclasses import dataclass

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result

from wheatslip import head as heads
from wheatslip.bundle import Bundle, decode_bundle
from wheatslip.head import Head
from wheatslip.objects import Conflict, ObjectClient, StoredObject, Unavailable
from wheatslip.signing import Keyring, Signature, SignedBundle, sign, verify

SIGN_TRIES = 5


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
        match await self._client.get(heads.KIND, heads.NAME):
            case Ok(None):
                return Ok(None)
            case Ok(found):
                return Ok(msgspec.json.decode(found.value, type=Head))
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def proposals(self) -> Result[list[Proposal], Unavailable]:
        """Every bundle at the platform, oldest version first."""
        match await self._client.list(heads.BUNDLE_KIND):
            case Ok(listing):
                return Ok([p for p in map(_as_proposal, listing.items) if p is not None])
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def propose(self, bundle: Bundle) -> Result[Proposal, ReleaseError]:
        """Put a bundle up for sign-off. The same one again is no error."""
        signed = SignedBundle(bundle.canonical().decode())
        name = heads.bundle_name(bundle.version, bundle.digest())
        match await self._client.put(heads.BUNDLE_KIND, name, signed, expected=0):
            case Ok(stored):
                return Ok(Proposal(bundle, signed, stored))
            case Err(Conflict(current)) if current is not None:
                return _found(current, bundle.version)
            case Err(Conflict()):
                return Err(Refused(f"version {bundle.version} changed while it was written"))
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def sign(
        self, version: int, digest: str, operator: str, key: Ed25519PrivateKey
    ) -> Result[Proposal, ReleaseError]:
        """Add an operator's signature to a proposal."""
        for _ in range(SIGN_TRIES):
            match await self._load(version, digest):
                case Ok(proposal):
                    pass
                case Err(error):
                    return Err(error)
            others = [s for s in proposal.signed.signatures if s.operator != operator]
            signatures = (*others, sign(proposal.bundle, operator, key))
            answer = await self._put_signatures(proposal, signatures)
            match answer:
                case Err(Conflict()):
                    continue  # another operator signed in between
                case Err(Unavailable() as trouble):
                    return Err(trouble)
                case Ok(stored):
                    signed = SignedBundle(proposal.signed.body, signatures)
                    return Ok(Proposal(proposal.bundle, signed, stored))
        return Err(Refused(f"version {version} changed {SIGN_TRIES} times meanwhile"))

    async def roll_out(self, version: int, digest: str) -> Result[Head, ReleaseError]:
        """Bring a signed-off bundle in force, as the next after the present one."""
        match await self._load(version, digest):
            case Ok(proposal):
                pass
            case Err(error):
                return Err(error)
        checked = verify(proposal.signed, self._keyring)
        if isinstance(checked, Err):
            return Err(Refused(f"version {version}: {checked.err_value}"))
        return await self._move_head(Head(version, proposal.bundle.digest()))

    async def _move_head(self, new: Head) -> Result[Head, ReleaseError]:
        match await self._client.get(heads.KIND, heads.NAME):
            case Err(trouble):
                return Err(trouble)
            case Ok(stored):
                pass
        current = msgspec.json.decode(stored.value, type=Head) if stored else Head(0, "")
        if current == new:
            return Ok(new)
        if new.version != current.version + 1:
            return Err(Beaten(current))
        expected = stored.version if stored else 0
        match await self._client.put(heads.KIND, heads.NAME, new, expected):
            case Ok(_):
                return Ok(new)
            case Err(Conflict(found)) if found is not None:
                winner = msgspec.json.decode(found.value, type=Head)
                return Ok(new) if winner == new else Err(Beaten(winner))
            case Err(Conflict()):
                return Err(Refused("the head vanished while it was moved"))
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def _load(self, version: int, digest: str) -> Result[Proposal, ReleaseError]:
        name = heads.bundle_name(version, digest)
        match await self._client.get(heads.BUNDLE_KIND, name):
            case Ok(None):
                return Err(Refused(f"no bundle {name} at the platform"))
            case Ok(found):
                return _found(found, version)
            case Err(trouble):
                return Err(trouble)
        raise AssertionError

    async def _put_signatures(
        self, proposal: Proposal, signatures: tuple[Signature, ...]
    ) -> Result[StoredObject, Conflict | Unavailable]:
        signed = SignedBundle(proposal.signed.body, signatures)
        stored = proposal.stored
        return await self._client.put(stored.kind, stored.name, signed, stored.version)


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
