"""The configurations that a soak releases, for the workspace and for the routes interface."""

from dataclasses import dataclass, field
from typing import Protocol

from wheatslip.config.bundle import RateLimit, credential_digest

from standins.caller import ROUTES_HOST

WORKSPACE = "alpha"  # without a limit; its requests are those of the usual traffic
SECRET = "alpha-secret"
MODERATE, HOT = "beta", "gamma"  # workspaces with limits
SPARE_SECRET = "beta-spare"  # the credential that is removed
LOWERED_LIMIT = RateLimit(3.0, 3.0)  # of the hot workspace
KINDS = {"view": True, "submit": False, "fatal": True}  # whether they may be repeated
OPEN_KIND = "open"  # needs no credential
RANKED = "delta"  # the workspace of the requests of an overload, without a limit
RANKED_SECRET = "delta-secret"
# The kinds of an overload with their priorities; 0 goes first.
URGENT_KIND, LATE_KIND = "urgent", "late"
PRIORITIES = {URGENT_KIND: 1, LATE_KIND: 3}
FATAL_KIND = "fatal"  # of the request that ends each server that runs it

_COMMON = """
[pool papers]
slots = 4
[service papers]
workspace = alpha
pool = papers
"""


class Configuration(Protocol):
    """What operators release; changes take effect with the next version."""

    def text(self, version: int) -> str:
        """The bundle of a version; versions of equal content differ in an unused item."""


class WorkspaceConfiguration:
    """The configuration of daemons with the workspace interface."""

    fatal_target = f"/papers/{FATAL_KIND}"

    def text(self, version: int) -> str:
        kinds = KINDS | {f"extra-{version}": True}
        return (
            f"[bundle]\nversion = {version}\n"
            f"[workspace {WORKSPACE}]\ncredential-sha256 = {credential_digest(SECRET)}\n"
            + _COMMON
            + "".join(
                f"[kind papers/{name}]\nrepeatable = {'yes' if repeatable else 'no'}\n"
                for name, repeatable in kinds.items()
            )
        )


@dataclass(slots=True)
class RoutedConfiguration:
    """The configuration of daemons with the routes interface: credentials and limits."""

    secrets: dict[str, tuple[str, ...]] = field(
        default_factory=lambda: {
            WORKSPACE: (SECRET,),
            MODERATE: ("beta-secret", SPARE_SECRET),
            HOT: ("gamma-secret",),
            RANKED: (RANKED_SECRET,),
        }
    )
    limits: dict[str, RateLimit] = field(
        default_factory=lambda: {MODERATE: RateLimit(6.0, 6.0), HOT: RateLimit(12.0, 10.0)}
    )

    fatal_target = f"/papers/{FATAL_KIND}/"

    def text(self, version: int) -> str:
        ranked = dict.fromkeys(PRIORITIES, True)
        routes = KINDS | {OPEN_KIND: True} | ranked | {f"extra-{version}": True}
        return (
            f"[bundle]\nversion = {version}\n"
            + "".join(self._workspace(name) for name in self.secrets)
            + _COMMON
            + "".join(_route(name, repeatable) for name, repeatable in routes.items())
        )

    @property
    def holders(self) -> dict[str, str]:
        """The workspace of each credential."""
        return {secret: name for name, secrets in self.secrets.items() for secret in secrets}

    def remove(self, credential: str) -> None:
        """Remove a credential from the next version on."""
        name = self.holders[credential]
        self.secrets[name] = tuple(s for s in self.secrets[name] if s != credential)

    def _workspace(self, name: str) -> str:
        digests = ", ".join(credential_digest(secret) for secret in self.secrets[name])
        limit = self.limits.get(name)
        limit_lines = f"rate = {limit.rate:g}\nburst = {limit.burst:g}\n" if limit else ""
        return f"[workspace {name}]\ncredential-sha256 = {digests}\n{limit_lines}"


def _route(name: str, repeatable: bool) -> str:
    return (
        f"[route {name}]\nhost = {ROUTES_HOST}\nprefix = /papers/{name}/\nservices = papers\n"
        f"repeatable = {'yes' if repeatable else 'no'}\ntimeout = 2s\nmax-attempts = 3\n"
        + ("open = yes\n" if name == OPEN_KIND else "")
        + (f"priority = {PRIORITIES[name]}\n" if name in PRIORITIES else "")
    )
