"""Bundles: a versioned set of workspaces, services, kinds of request, pools and routes.

Operators write one as INI, see `bundleini`. The canonical bytes (sorted JSON) are what is
hashed, signed and kept in the platform's object API.
"""

import hashlib
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from wheatslip.call import CallClass, RequestKind

FORMAT = 1  # of the canonical bytes; another one is refused
MAX_BUNDLE_BYTES = 1_000_000  # the platform's limit for a value, which operators meet

# What a daemon can work with; a bundle with other numbers is refused when it is read, whoever
# wrote it. Applied, it would stop each daemon that takes it (a rate of 1e308 a second did).
# Longer than a week no request, and no cold start, lasts; the others are beyond all use.
Seconds = Annotated[float, Meta(ge=0.0, le=604_800.0)]
Rate = Annotated[float, Meta(ge=0.0, le=1e6)]  # a second
Share = Annotated[float, Meta(ge=0.001, le=1000.0)]
Weight = Annotated[float, Meta(ge=0.0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]


class Workspace(msgspec.Struct, frozen=True):
    """A customer: who may call, and with what weight. The credential is kept as its hash."""

    name: str
    credential_sha256: str
    share: Share = 1.0


class Kind(msgspec.Struct, frozen=True):
    """A kind of request of a service."""

    name: str
    repeatable: bool
    urgent: bool = False

    def as_request_kind(self) -> RequestKind:
        """The same, as the decisions take it."""
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
        """The kind of that name, if the service has it."""
        return next((kind for kind in self.kinds if kind.name == name), None)


class ColdStart(msgspec.Struct, frozen=True):
    """A backend server stays cold for `seconds` after its start, and bears `per_second`
    requests a second meanwhile.
    """

    seconds: Seconds
    per_second: Rate


class Pool(msgspec.Struct, frozen=True):
    """Backend servers that serve the same services, and the limits of each.

    `slots` is the concurrency to start from (0: find it), `probes_per_second` the budget of
    active measuring for one backend server, `shed_status` the HTTP status by which its
    servers say that work was not started (0: none does). An empty `health_path` leaves that
    of the daemon's settings. `cold` is left out of the bytes where it is not set, so that
    bundles that were signed without it keep their digests.
    """

    name: str
    slots: Count = 0
    connections: Count = 220
    queue: Count = 64
    probes_per_second: Rate = 1.0
    shed_status: int = 0
    health_path: str = ""
    cold: ColdStart | msgspec.UnsetType = msgspec.UNSET


class Split(msgspec.Struct, frozen=True):
    """The part of a route's requests that goes to one service, relative to the others'."""

    service: str
    weight: Weight = 1.0


class Route(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests of one host below a path prefix, and how they are to be served.

    `timeout` bounds a request whatever its own deadline says; an answer within `target` is
    worth most. Both in seconds; 0 for `target` means that any answer in time is as good.
    Calls of `priority` 0 go first; other numbers make no difference yet. `max_attempts`
    bounds the backend servers that one request is sent to.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    repeatable: bool = False
    timeout: Seconds = 10.0
    target: Seconds = 0.0
    priority: int = 0
    max_attempts: int = 1


class Bundle(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    workspaces: tuple[Workspace, ...] = ()
    services: tuple[Service, ...] = ()
    pools: tuple[Pool, ...] = ()
    format: int = FORMAT
    routes: tuple[Route, ...] = ()

    def canonical(self) -> bytes:
        """The bytes that are hashed and signed: JSON with sorted keys."""
        return msgspec.json.encode(self, order="sorted")

    def digest(self) -> str:
        """SHA-256 of the canonical bytes, in hex."""
        return hashlib.sha256(self.canonical()).hexdigest()


def credential_digest(credential: str) -> str:
    """The hash under which a bundle keeps a workspace's credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def decode_bundle(data: bytes, max_bytes: int = MAX_BUNDLE_BYTES) -> Result[Bundle, str]:
    """A bundle from its canonical bytes; the error is a sentence."""
    if len(data) > max_bytes:
        return Err(f"bundle of {len(data)} bytes is larger than {max_bytes}")
    try:
        bundle = msgspec.json.decode(data, type=Bundle)
    except msgspec.DecodeError as error:
        return Err(f"not a bundle: {error}")
    if bundle.format != FORMAT:
        return Err(f"bundle format {bundle.format} is not the supported {FORMAT}")
    return Ok(bundle)
