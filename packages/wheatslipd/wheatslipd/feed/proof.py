"""Checks whether a bundle or a zone drain may be put in force, whichever way it came."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from result import Result
from wheatslip.config.bundle import Bundle, decode_bundle
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.zonedrains import ZoneDrain

from wheatslipd.settings import ConfigurationSource, Settings

# Longest bundle from a platform that is trusted without signatures.
TRUSTED_BUNDLE_BYTES = 16 * 1024 * 1024


class Proof(Protocol):
    """Decides what may be put in force."""

    def bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """The bundle, if it may be put in force; the error is a sentence."""

    def drain(self, drain: ZoneDrain) -> bool:
        """Whether a zone may be emptied."""


@dataclass(frozen=True, slots=True)
class KeyringProof:
    """Accepts what operators have signed whose keys are in a folder.

    A bundle needs two signatures. A zone drain needs one, because it is urgent. The keyring is
    read each time, so that a new operator's key needs no restart. The library for signatures
    takes long to load, so it is imported on first use.
    """

    keyring: Path

    def bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """The bundle, if enough operators have signed it."""
        from wheatslip.config.signing import load_keyring, verify

        return verify(signed, load_keyring(self.keyring))

    def drain(self, drain: ZoneDrain) -> bool:
        """Whether an operator has signed it."""
        from wheatslip.config.signing import load_keyring, verify_drain

        return verify_drain(drain, load_keyring(self.keyring))


@dataclass(frozen=True, slots=True)
class TrustedPlatform:
    """Accepts everything: only operators can write at the platform."""

    def bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """The bundle, if it can be read."""
        return decode_bundle(signed.body.encode(), TRUSTED_BUNDLE_BYTES)

    def drain(self, drain: ZoneDrain) -> bool:
        """Always."""
        return True


def proof_of(settings: Settings) -> Proof:
    """The proof that the settings ask for."""
    if settings.source is ConfigurationSource.TRUSTED:
        return TrustedPlatform()
    return KeyringProof(settings.keyring)
