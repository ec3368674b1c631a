"""The head: the one object that says which bundle version is in force."""

import msgspec

HEAD_KIND = "head"
HEAD_NAME = "bundle"
BUNDLE_KIND = "bundle"
DELTA_KIND = "delta"  # what differs from the version before, under the same name
# Characters of a digest in a bundle's name: enough to part the proposals of one version.
DIGEST_CHARS = 16


class Head(msgspec.Struct, frozen=True):
    """The version in force, and the digest of its canonical bytes."""

    version: int
    digest: str


def bundle_name(version: int, digest: str) -> str:
    """The platform's name of a bundle; sorts as the versions do.

    The digest is part of it, so that two proposals of one version stand side by side and
    the head alone decides between them.
    """
    return f"v{version:012d}-{digest[:DIGEST_CHARS]}"
