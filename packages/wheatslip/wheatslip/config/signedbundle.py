"""Stored form of a bundle: its canonical bytes and the operators' signatures."""

import msgspec


class Signature(msgspec.Struct, frozen=True):
    """One operator's signature, in hex."""

    operator: str
    signature: str


class SignedBundle(msgspec.Struct, frozen=True):
    """A bundle's canonical bytes, as text, and the signatures over them."""

    body: str
    signatures: tuple[Signature, ...] = ()
