"""Sign-off by Ed25519: two different operators sign a bundle's canonical bytes, one a drain."""

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

SIGNATURES_NEEDED = 2  # of different operators: no bundle is in force by one person alone
# Signed in front of the bundle, so that a signature can't be used for anything else.
CONTEXT = b"wheatslip bundle v1\n"
DRAIN_CONTEXT = b"wheatslip zone drain v1\n"


Keyring = Mapping[str, Ed25519PublicKey]


def sign(bundle: Bundle, operator: str, key: Ed25519PrivateKey) -> Signature:
    """The signature of `operator` for `bundle`."""
    return Signature(operator, key.sign(CONTEXT + bundle.canonical()).hex())


def verify(signed: SignedBundle, keyring: Keyring) -> Result[Bundle, str]:
    """The bundle, if enough different operators of the keyring signed exactly these bytes."""
    body = signed.body.encode()
    message = CONTEXT + body
    signers = {e.operator for e in signed.signatures if _is_valid(e, message, keyring)}
    if len(signers) < SIGNATURES_NEEDED:
        return Err(f"{len(signers)} valid signatures of {SIGNATURES_NEEDED} needed")
    return decode_bundle(body)


def sign_drain(drain: ZoneDrain, key: Ed25519PrivateKey) -> ZoneDrain:
    """The drain with the signature of the operator who asked for it."""
    signature = key.sign(DRAIN_CONTEXT + drain.signed_bytes()).hex()
    return ZoneDrain(drain.zone, drain.asked_by, drain.since, signature)


def verify_drain(drain: ZoneDrain, keyring: Keyring) -> bool:
    """Whether the operator who is said to have asked for it has signed it."""
    entry = Signature(drain.asked_by, drain.signature)
    return _is_valid(entry, DRAIN_CONTEXT + drain.signed_bytes(), keyring)


def _is_valid(entry: Signature, message: bytes, keyring: Keyring) -> bool:
    key = keyring.get(entry.operator)
    if key is None:
        return False
    try:
        key.verify(bytes.fromhex(entry.signature), message)
    except (InvalidSignature, ValueError):
        return False
    return True


def load_private_key(path: Path) -> Ed25519PrivateKey:
    """An operator's private key from a PEM file; raises ValueError or OSError."""
    key = serialization.load_pem_private_key(path.read_bytes(), password=None)
    if not isinstance(key, Ed25519PrivateKey):
        raise ValueError(f"{path}: not an Ed25519 private key")
    return key


def write_key_pair(operator: str, folder: Path) -> tuple[Path, Path]:
    """Make a key pair and write `OPERATOR.key` and `OPERATOR.pub` into `folder`."""
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
    """The operators' public keys: every `OPERATOR.pub` of the folder."""
    keyring: dict[str, Ed25519PublicKey] = {}
    for path in sorted(folder.glob("*.pub")):
        key = serialization.load_pem_public_key(path.read_bytes())
        if not isinstance(key, Ed25519PublicKey):
            raise ValueError(f"{path}: not an Ed25519 public key")
        keyring[path.stem] = key
    return keyring
