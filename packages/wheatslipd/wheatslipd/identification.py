"""Identifies the workspace of a request by its credential, on both interfaces.

Gates use it too, for requests that entries of the previous version forward with a credential.
"""

from typing import Protocol

from wheatslip.call import CallClass, Rank
from wheatslip.config.bundle import Route, Workspace, credential_digest
from wheatslip.outcome import NotRun, Reason

from wheatslipd.confirmation import ConfirmationLimit
from wheatslipd.controllers.view import Configuration
from wheatslipd.http.messages import RequestHead

BEARER_PREFIX = b"Bearer "
UNAUTHENTICATED = NotRun(Reason.UNAUTHENTICATED)


class Identification(Protocol):
    """How requests of one interface are identified."""

    def identify(
        self, head: RequestHead, configuration: Configuration, route: Route | None
    ) -> Workspace | NotRun | None:
        """Return the workspace, a refusal, or None if the request needs no credential.

        `route` is the request's route, if it has one.
        """
        ...


class BearerIdentification:
    """Identifies requests of the workspace interface, which all need a bearer credential."""

    def __init__(self, limit: ConfirmationLimit):
        self._limit = limit

    def identify(
        self, head: RequestHead, configuration: Configuration, route: Route | None
    ) -> Workspace | NotRun | None:
        """Return the workspace of the credential, or a refusal."""
        value = head.get(b"authorization") or b""
        if not value.startswith(BEARER_PREFIX):
            return UNAUTHENTICATED
        credential = value[len(BEARER_PREFIX) :].decode("ascii", "replace").strip()
        return _look_up(credential, configuration, self._limit)


class HeaderIdentification:
    """Identifies requests of the routes interface by a header, if `header` is not empty and
    the configuration requires credentials.
    """

    def __init__(self, header: bytes, limit: ConfirmationLimit):
        self._header = header
        self._limit = limit

    def is_required(self, configuration: Configuration) -> bool:
        """Whether requests of routes that are not open need a credential."""
        return bool(self._header) and configuration.requires_credentials

    def identify(
        self, head: RequestHead, configuration: Configuration, route: Route | None
    ) -> Workspace | NotRun | None:
        """Return the workspace of the only credential; None without one on an open route."""
        if not self.is_required(configuration):
            return None
        values = head.get_all(self._header)
        if not values and route is not None and route.open:
            return None
        if len(values) != 1 or not values[0].strip():
            return UNAUTHENTICATED
        try:
            credential = values[0].decode()
        except UnicodeDecodeError:
            return UNAUTHENTICATED
        return _look_up(credential, configuration, self._limit)


def classify_identified(workspace: Workspace, route: Route | None) -> tuple[CallClass, Rank]:
    """Return the class and the rank of a request by routes whose workspace is known."""
    return CallClass.NORMAL, Rank(workspace.priority or 0, route.priority if route else 0)


def _look_up(
    credential: str, configuration: Configuration, limit: ConfirmationLimit
) -> Workspace | NotRun:
    # Before the lookup: a later configuration may have added a credential that is unknown here.
    refusal = limit.refusal(configuration.version)
    if refusal is not None:
        return refusal
    return configuration.workspace_of(credential_digest(credential)) or UNAUTHENTICATED
