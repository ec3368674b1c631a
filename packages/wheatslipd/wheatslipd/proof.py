"""What makes a daemon believe a bundle, whoever brought it."""

from collections.abc import Callable
from pathlib import Path

from result import Result
from wheatslip.bundle import Bundle, decode_bundle
from wheatslip.signedbundle import SignedBundle

TRUSTED_BUNDLE_BYTES = 16 * 1024 * 1024  # of one that the platform vouches for

Proof = Callable[[SignedBundle], Result[Bundle, str]]


def prove_by_keyring(keyring: Path) -> Proof:
    """Believes bundles with enough signatures of the operators in a folder."""

    def prove(signed: SignedBundle) -> Result[Bundle, str]:
        # Imported here: signatures need a library that takes long to load. The keyring is
        # read each time, so that a new operator's key needs no restart.
        from wheatslip.signing import load_keyring, verify

        return verify(signed, load_keyring(keyring))

    return prove


def believe(signed: SignedBundle) -> Result[Bundle, str]:
    """Believes any bundle: the platform lets only operators write."""
    return decode_bundle(signed.body.encode(), TRUSTED_BUNDLE_BYTES)
