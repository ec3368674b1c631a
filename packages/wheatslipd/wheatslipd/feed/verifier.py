"""Verification of bundles and zone drains before they are put in force."""

from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from result import Result
from wheatslip.config.bundle import Bundle, decode_bundle
from wheatslip.config.signedbundle import SignedBundle
from wheatslip.config.zonedrains import ZoneDrain

from wheatslipd.settings import ConfigurationSource, Settings

MAX_UNSIGNED_BUNDLE_BYTES = 16 * 1024 * 1024


class Verifier(Protocol):
    """Decides whether a bundle or a zone drain may be put in force."""

    def verify_bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """Return the bundle if it may be put in force, else the reason as a sentence."""

    def accepts_drain(self, drain: ZoneDrain) -> bool:
        """Return whether the zone may be drained."""


@dataclass(frozen=True, slots=True)
class KeyringVerifier:
    """Accepts bundles and zone drains signed by operators whose keys are in the keyring folder.

    A bundle needs two signatures, a zone drain one, because it is urgent. The keyring is read
    on each call, so that a new key needs no restart. The signature library loads slowly and is
    imported on first use.
    """

    keyring: Path

    def verify_bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """Return the bundle if enough operators have signed it."""
        from wheatslip.config.signing import load_keyring, verify

        return verify(signed, load_keyring(self.keyring))

    def accepts_drain(self, drain: ZoneDrain) -> bool:
        """Return whether an operator has signed the drain."""
        from wheatslip.config.signing import load_keyring, verify_drain

        return verify_drain(drain, load_keyring(self.keyring))


@dataclass(frozen=True, slots=True)
class TrustedPlatformVerifier:
    """Accepts unsigned bundles and zone drains: only operators can write to the platform."""

    def verify_bundle(self, signed: SignedBundle) -> Result[Bundle, str]:
        """Return the bundle if it can be decoded."""
        return decode_bundle(signed.body.encode(), MAX_UNSIGNED_BUNDLE_BYTES)

    def accepts_drain(self, drain: ZoneDrain) -> bool:
        """Accept every drain."""
        return True


def create_verifier(settings: Settings) -> Verifier:
    """Return the verifier for the configured source of the configuration."""
    if settings.source is ConfigurationSource.TRUSTED:
        return TrustedPlatformVerifier()
    return KeyringVerifier(settings.keyring)
