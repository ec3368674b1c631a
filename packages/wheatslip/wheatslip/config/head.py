"""The head: the object at the platform that names the bundle version in force."""

import msgspec

from wheatslip.decoding import Int64

HEAD_KIND = "head"
HEAD_NAME = "bundle"
BUNDLE_KIND = "bundle"
DELTA_KIND = "delta"  # difference from the previous version; has the name of its bundle
NAME_DIGEST_CHARS = 16  # of the hex digest in a bundle's name, to distinguish proposals


class Head(msgspec.Struct, frozen=True):
    """The version in force, and the hex SHA-256 digest of its canonical bytes."""

    version: Int64
    digest: str


def bundle_name(version: int, digest: str) -> str:
    """Returns the name of a bundle's object. Names sort in the order of versions.

    The name includes the digest, so that several proposals of one version can be stored; the
    head decides which of them is in force.
    """
    return f"v{version:012d}-{digest[:NAME_DIGEST_CHARS]}"
