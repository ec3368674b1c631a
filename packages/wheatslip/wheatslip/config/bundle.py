"""Bundles: a versioned set of workspaces, services, kinds of request, pools and routes.

Operators write a bundle as an INI file, see `bundleini`. Its canonical bytes (JSON with sorted
keys) are hashed, signed and stored at the platform.
"""

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from wheatslip.call import CallClass, RequestKind
from wheatslip.decoding import Int64, decode_json

FORMAT = 1  # of the canonical bytes; any other format is refused
MAX_BUNDLE_BYTES = 1_000_000  # the platform's limit for the value of an object

# Checked when decoding: a value such as 1e308 per second can stop every daemon that applies it.
Seconds = Annotated[float, Meta(ge=0.0, le=604_800.0)]  # at most a week
MAX_RATE = 1e6
Rate = Annotated[float, Meta(ge=0.0, le=MAX_RATE)]  # per second
Share = Annotated[float, Meta(ge=0.001, le=1000.0)]
Weight = Annotated[float, Meta(ge=0.0, le=1e9)]
MAX_COUNT = 1_000_000
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
MAX_BYTES = 1 << 50
Bytes = Annotated[int, Meta(ge=0, le=MAX_BYTES)]


class RateLimit(msgspec.Struct, frozen=True):
    """Requests per second, and requests above that which may come at once."""

    rate: Rate
    burst: Rate = 0.0


class Workspace(msgspec.Struct, frozen=True):
    """A customer that calls services.

    `share` is its weight when workspaces compete for capacity. Credentials are stored as
    hashes. All daemons together accept `rate` requests per second of it, and `burst` above
    that; without a rate there is no limit. Unset fields are omitted from the canonical bytes,
    so that bundles signed without them keep their digests.
    """

    name: str
    credential_sha256: str  # empty: it has no credential
    share: Share = 1.0
    more_credentials_sha256: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    priority: Count | msgspec.UnsetType = msgspec.UNSET  # 0 (also if unset) goes first
    rate: Rate | msgspec.UnsetType = msgspec.UNSET
    burst: Rate | msgspec.UnsetType = msgspec.UNSET

    @property
    def credentials(self) -> tuple[str, ...]:
        """The hashes of all its credentials."""
        first = (self.credential_sha256,) if self.credential_sha256 else ()
        return first + (self.more_credentials_sha256 or ())

    @property
    def limit(self) -> RateLimit | None:
        """Its limit over all daemons; None if there is none."""
        return RateLimit(self.rate, self.burst or 0.0) if self.rate else None


class Kind(msgspec.Struct, frozen=True):
    """A kind of request that a service accepts."""

    name: str
    repeatable: bool
    urgent: bool = False

    def as_request_kind(self) -> RequestKind:
        """Converts it to the type that admission and retries use."""
        call_class = CallClass.URGENT if self.urgent else CallClass.NORMAL
        return RequestKind(self.name, self.repeatable, call_class)


class Service(msgspec.Struct, frozen=True):
    """A service that a workspace exposes. `max_deadline` is in seconds."""

    name: str
    workspace: str
    pool: str
    callers: tuple[str, ...] = ()
    kinds: tuple[Kind, ...] = ()
    max_deadline: Seconds = 10.0

    def kind(self, name: str) -> Kind | None:
        """Returns the kind of that name, or None."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class ColdStart(msgspec.Struct, frozen=True):
    """A backend server is cold for `seconds` after its start. Meanwhile it can serve
    `per_second` requests per second.
    """

    seconds: Seconds
    per_second: Rate


class Pool(msgspec.Struct, frozen=True):
    """Backend servers that serve the same services, and the limits of each.

    `slots` is the concurrency limit of a backend server (0: the limit is adaptive).
    `probes_per_second` limits the probes to one backend server. `shed_status` is the HTTP
    status with which a backend server reports that it did not start a request (0: none). If
    `health_path` is empty, the one of the daemon's settings applies. An unset `cold` is omitted
    from the canonical bytes, so that bundles signed without the field keep their digests.
    """

    name: str
    slots: Count = 0
    connections: Count = 220
    queue: Count = 64
    probes_per_second: Rate = 1.0
    shed_status: Int64 = 0
    health_path: str = ""
    cold: ColdStart | msgspec.UnsetType = msgspec.UNSET


class Split(msgspec.Struct, frozen=True):
    """A service of a route. `weight` is its part of the requests, relative to other splits."""

    service: str
    weight: Weight = 1.0


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """How requests to one host below a path prefix are served.

    `timeout` and `target` are in seconds. `timeout` limits a request even if its own deadline
    is later. `target` is the response time after which a response has little value; 0 means the
    timeout. Requests with `priority` 0 go first; all other priorities are equal, except where
    callers need credentials (`Rank`). `max_attempts` is the maximum number of backend servers
    that a request is sent to. Requests of an `open` route need no credential.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    repeatable: bool = False
    timeout: Seconds = 10.0
    target: Seconds = 0.0
    priority: Int64 = 0
    max_attempts: Int64 = 1
    open: bool = False


class CallerLimits(msgspec.Struct, frozen=True, omit_defaults=True):
    """What callers may send to an entry, and for how long; 0: the daemon's default applies.

    `header_timeout` (seconds) is the time from the first byte of a request's head to its last,
    `idle_timeout` (seconds) that of a connection without a request.
    """

    header_bytes: Count = 0
    body_bytes: Bytes = 0
    header_timeout: Seconds = 0.0
    idle_timeout: Seconds = 0.0


class Bundle(msgspec.Struct, frozen=True):
    """One version of the configuration.

    `limits` are part of the canonical bytes, which operators sign, but not of the digest:
    daemons of the version before do not know them, and compare the digest of what they know.
    """

    version: Int64
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()
    format: Int64 = FORMAT
    routes: tuple[Route, ...] = ()
    limits: CallerLimits | msgspec.UnsetType = msgspec.UNSET

    @property
    def requires_credentials(self) -> bool:
        """Whether any workspace has a list of credentials, even if it is empty because the last
        one was removed.
        """
        return any(
            workspace.credential_sha256
            or workspace.more_credentials_sha256 is not msgspec.UNSET
            for workspace in self.workspaces
        )

    def canonical(self) -> bytes:
        """Returns the bytes that are hashed and signed: JSON with sorted keys."""
        return msgspec.json.encode(self, order="sorted")

    def digest(self) -> str:
        """Returns the SHA-256 of the canonical bytes without `limits`, in hex."""
        digested = self
        if self.limits is not msgspec.UNSET:
            digested = msgspec.structs.replace(self, limits=msgspec.UNSET)
        return hashlib.sha256(digested.canonical()).hexdigest()


def credential_digest(credential: str) -> str:
    """Returns the SHA-256 of a workspace's credential, in hex, as bundles store it."""
    return hashlib.sha256(credential.encode()).hexdigest()


def decode_bundle(data: bytes, max_bytes: int = MAX_BUNDLE_BYTES) -> Result[Bundle, str]:
    """Decodes a bundle from its canonical bytes. The error is a message for the operator."""
    if len(data) > max_bytes:
        return Err(f"bundle of {len(data)} bytes is larger than {max_bytes}")
    decoded = decode_json(data, Bundle)
    if isinstance(decoded, Err):
        return Err(f"not a bundle: {decoded.err_value}")
    bundle = decoded.ok_value
    if bundle.format != FORMAT:
        return Err(f"bundle format {bundle.format} is not the supported {FORMAT}")
    return Ok(bundle)
