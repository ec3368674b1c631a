"""Operator commands for the bundles at the platform: propose, sign and roll out.

All writes are conditional updates: if two operators roll out bundles concurrently, one succeeds
and the other gets `VersionConflict` with the version in force.
"""

from dataclasses import dataclass

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
from wheatslip.decoding import decode_json
from wheatslip.store.objectclient import ObjectClient
from wheatslip.store.objects import Conflict, StoredObject, Unavailable

MAX_SIGN_ATTEMPTS = 5  # while other operators sign the same proposal


@dataclass(frozen=True, slots=True)
class Refused:
    """The command was not executed; `reason` is a message for the operator."""

    reason: str


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """The bundle is not the next version after the one in force, which `head` names."""

    head: Head


ReleaseError = Refused | VersionConflict | Unavailable


@dataclass(frozen=True, slots=True)
class Proposal:
    """A bundle at the platform, with the signatures made so far."""

    bundle: Bundle
    signed: SignedBundle
    stored: StoredObject

    @property
    def signers(self) -> list[str]:
        """The operators of all signatures, including invalid ones."""
        return [signature.operator for signature in self.signed.signatures]


class Releases:
    """Writes and reads bundles, their signatures and the head at the platform."""

    def __init__(self, client: ObjectClient, keyring: Keyring):
        self._client = client
        self._keyring = keyring

    async def head(self) -> Result[Head | None, Unavailable]:
        """Returns the version in force, or None before the first rollout."""
        answer = await self._client.get(HEAD_KIND, HEAD_NAME)
        return answer.and_then(_decode_head_if_any)

    async def proposals(self) -> Result[list[Proposal], Unavailable]:
        """Returns all bundles at the platform, the oldest version first. Objects that are not
        bundles are skipped.
        """
        match await self._client.list(BUNDLE_KIND):
            case Ok(listing):
                return Ok([p for p in map(_decode_proposal, listing.items) if p is not None])
            case Err(error):
                return Err(error)
        raise AssertionError

    async def propose(self, bundle: Bundle) -> Result[Proposal, ReleaseError]:
        """Stores a bundle, without signatures. If it is already stored, returns it with its
        signatures.
        """
        signed = SignedBundle(bundle.canonical().decode())
        name = bundle_name(bundle.version, bundle.digest())
        answer = await self._client.put(BUNDLE_KIND, name, signed, expected=0)
        if isinstance(answer, Ok):
            return Ok(Proposal(bundle, signed, answer.ok_value))
        match answer.err_value:
            case Unavailable() as error:
                return Err(error)
            case Conflict(StoredObject() as current):
                return _check_proposal(current, bundle.version)
        return Err(Refused(f"version {bundle.version} was changed concurrently"))

    async def sign(
        self, version: int, digest: str, operator: str, key: Ed25519PrivateKey
    ) -> Result[Proposal, ReleaseError]:
        """Adds an operator's signature to a proposal, or replaces it if there is one."""
        for _ in range(MAX_SIGN_ATTEMPTS):
            load_result = await self._load_proposal(version, digest)
            if isinstance(load_result, Err):
                return load_result
            proposal = load_result.ok_value
            other_signatures = [s for s in proposal.signed.signatures if s.operator != operator]
            signatures = (*other_signatures, sign(proposal.bundle, operator, key))
            signed = SignedBundle(proposal.signed.body, signatures)
            stored = proposal.stored
            answer = await self._client.put(stored.kind, stored.name, signed, stored.version)
            if isinstance(answer, Ok):
                return Ok(Proposal(proposal.bundle, signed, answer.ok_value))
            if isinstance(answer.err_value, Unavailable):
                return Err(answer.err_value)
            # Another operator signed concurrently: read the proposal again.
        return Err(
            Refused(f"version {version} was changed concurrently {MAX_SIGN_ATTEMPTS} times")
        )

    async def roll_out(self, version: int, digest: str) -> Result[Head, ReleaseError]:
        """Puts a signed bundle in force if it is the next version after the current one."""
        load_result = await self._load_proposal(version, digest)
        if isinstance(load_result, Err):
            return load_result
        proposal = load_result.ok_value
        verify_result = verify(proposal.signed, self._keyring)
        if isinstance(verify_result, Err):
            return Err(Refused(f"version {version}: {verify_result.err_value}"))
        return await self._update_head(Head(version, proposal.bundle.digest()), proposal)

    async def _update_head(self, new: Head, proposal: Proposal) -> Result[Head, ReleaseError]:
        answer = await self._client.get(HEAD_KIND, HEAD_NAME)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        stored = answer.ok_value
        decoded = _decode_head_if_any(stored)
        if isinstance(decoded, Err):
            return decoded
        current = decoded.ok_value or Head(0, "")
        if current == new:
            return Ok(new)
        if new.version != current.version + 1:
            return Err(VersionConflict(current))
        await self._store_delta(current, new, proposal)
        expected = stored.version if stored else 0
        write_result = await self._client.put(HEAD_KIND, HEAD_NAME, new, expected)
        if isinstance(write_result, Ok):
            return Ok(new)
        match write_result.err_value:
            case Unavailable() as error:
                return Err(error)
            case Conflict(StoredObject() as newer_object):
                return _compare_heads(newer_object, new)
        return Err(Refused("the head was deleted during the rollout"))

    async def _store_delta(self, current: Head, new: Head, proposal: Proposal) -> None:
        """Stores the delta from the version in force, for daemons that have that version.

        Errors are ignored, because daemons read the whole bundle if there is no delta.
        """
        load_result = await self._load_proposal(current.version, current.digest)
        if isinstance(load_result, Err):
            return
        old = load_result.ok_value.bundle
        delta = delta_between(old, proposal.bundle, new, proposal.signed.signatures)
        name = bundle_name(new.version, new.digest)
        await self._client.put(DELTA_KIND, name, delta, expected=0)

    async def _load_proposal(self, version: int, digest: str) -> Result[Proposal, ReleaseError]:
        name = bundle_name(version, digest)
        answer = await self._client.get(BUNDLE_KIND, name)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        if answer.ok_value is None:
            return Err(Refused(f"the platform has no bundle {name}"))
        return _check_proposal(answer.ok_value, version)


def _decode_head_if_any(stored: StoredObject | None) -> Result[Head | None, Unavailable]:
    if stored is None:
        return Ok(None)
    return decode_json(stored.value, Head).map_err(
        lambda reason: Unavailable(f"the head at the platform can't be read: {reason}")
    )


def _compare_heads(stored: StoredObject, new: Head) -> Result[Head, ReleaseError]:
    """The result of a rollout of `new` that met another head."""
    match _decode_head_if_any(stored):
        case Ok(Head() as in_force):
            return Ok(new) if in_force == new else Err(VersionConflict(in_force))
        case Err(unavailable):
            return Err(unavailable)
    raise AssertionError


def _check_proposal(stored: StoredObject, version: int) -> Result[Proposal, ReleaseError]:
    proposal = _decode_proposal(stored)
    if proposal is None or proposal.bundle.version != version:
        return Err(Refused(f"the object {stored.name} is not a bundle of version {version}"))
    return Ok(proposal)


def _decode_proposal(stored: StoredObject) -> Proposal | None:
    match decode_json(stored.value, SignedBundle):
        case Ok(signed):
            decoded = decode_bundle(signed.body.encode())
            return decoded.map(lambda bundle: Proposal(bundle, signed, stored)).ok()
    return None
