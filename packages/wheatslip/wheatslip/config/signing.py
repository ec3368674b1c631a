"""Ed25519 signatures of operators: two different operators sign a bundle, one a zone drain."""

from collections.abc import Mapping
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from result import Err, Result

from wheatslip.config.bundle import Bundle, decode_bundle
from wheatslip.config.signedbundle import Signature, SignedBundle
from wheatslip.config.zonedrains import ZoneDrain

REQUIRED_SIGNATURES = 2  # of a bundle, by different operators
# Prefixes of the signed bytes, so that a signature of one type is not valid for the other.
BUNDLE_CONTEXT = b"wheatslip bundle v1\n"
DRAIN_CONTEXT = b"wheatslip zone drain v1\n"

# Public keys by operator.
Keyring = Mapping[str, Ed25519PublicKey]


def sign(bundle: Bundle, operator: str, key: Ed25519PrivateKey) -> Signature:
    """Signs a bundle as `operator`."""
    return Signature(operator, key.sign(BUNDLE_CONTEXT + bundle.canonical()).hex())


def verify(signed: SignedBundle, keyring: Keyring) -> Result[Bundle, str]:
    """Returns the bundle if at least two different operators of the keyring signed its bytes.
    The error is a message for the operator.
    """
    body = signed.body.encode()
    message = BUNDLE_CONTEXT + body
    signers = {
        signature.operator
        for signature in signed.signatures
        if _is_valid(signature, message, keyring)
    }
    if len(signers) < REQUIRED_SIGNATURES:
        return Err(f"{len(signers)} of {REQUIRED_SIGNATURES} required valid signatures")
    return decode_bundle(body)


def sign_drain(drain: ZoneDrain, key: Ed25519PrivateKey) -> ZoneDrain:
    """Returns the drain with a signature. `key` is that of the operator `drain.asked_by`."""
    signature = key.sign(DRAIN_CONTEXT + drain.signed_bytes()).hex()
    return ZoneDrain(drain.zone, drain.asked_by, drain.since, signature)


def verify_drain(drain: ZoneDrain, keyring: Keyring) -> bool:
    """Returns whether the drain has a valid signature of the operator `drain.asked_by`."""
    signature = Signature(drain.asked_by, drain.signature)
    return _is_valid(signature, DRAIN_CONTEXT + drain.signed_bytes(), keyring)


def _is_valid(signature: Signature, message: bytes, keyring: Keyring) -> bool:
    key = keyring.get(signature.operator)
    if key is None:
        return False
    try:
        key.verify(bytes.fromhex(signature.signature), message)
    except (InvalidSignature, ValueError):
        return False
    return True


def load_private_key(path: Path) -> Ed25519PrivateKey:
    """Reads an unencrypted private key from a PEM file; raises ValueError or OSError."""
    key = serialization.load_pem_private_key(path.read_bytes(), password=None)
    if not isinstance(key, Ed25519PrivateKey):
        raise ValueError(f"{path}: not an Ed25519 private key")
    return key


def write_key_pair(operator: str, folder: Path) -> tuple[Path, Path]:
    """Generates a key pair, writes `OPERATOR.key` and `OPERATOR.pub` to `folder` and returns
    their paths. Only the owner may read the private key.
    """
    key = Ed25519PrivateKey.generate()
    private_path = folder / f"{operator}.key"
    public_path = folder / f"{operator}.pub"
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    public = key.public_key().public_bytes(
        serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    private_path.touch(mode=0o600)
    private_path.write_bytes(private)
    public_path.write_bytes(public)
    return private_path, public_path


def load_keyring(folder: Path) -> dict[str, Ed25519PublicKey]:
    """Reads the public key in each `OPERATOR.pub` of a folder; raises ValueError or OSError."""
    keyring: dict[str, Ed25519PublicKey] = {}
    for path in sorted(folder.glob("*.pub")):
        key = serialization.load_pem_public_key(path.read_bytes())
        if not isinstance(key, Ed25519PublicKey):
            raise ValueError(f"{path}: not an Ed25519 public key")
        keyring[path.stem] = key
    return keyring
