"""The limit on the age of the configuration by which credentials are accepted.

A daemon that the platform's changes do not reach could accept a credential that was removed, so
it refuses requests with a credential once its configuration was confirmed too long ago.
"""

from collections.abc import Callable

from wheatslip.distribution.feedcache import FeedCache
from wheatslip.outcome import NotRun
from wheatslip.retryafter import UNCONFIRMED

from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics


class ConfirmationLimit:
    """Decides whether a configuration is confirmed recently enough to accept credentials."""

    def __init__(
        self,
        max_unconfirmed: float,
        cache: FeedCache,
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        """`max_unconfirmed` is in seconds, 0 for no limit; `clock` is the monotonic clock by
        which the cache counts confirmations.
        """
        self._max_unconfirmed = max_unconfirmed
        self._cache = cache
        self._clock = clock
        self._metrics = metrics
        self._is_refusing = False

    def refusal(self, version: int) -> NotRun | None:
        """The refusal of a request with a credential that the configuration `version` would
        identify; None if it may be identified.
        """
        if not self._max_unconfirmed or not self._is_expired(version):
            return None
        self._metrics.unconfirmed_refusals.inc({})
        return UNCONFIRMED

    def _is_expired(self, version: int) -> bool:
        """Whether the configuration was confirmed too long ago or never; logs when that
        changes.
        """
        confirmed_at = self._cache.confirmed_at(version)
        age = None if confirmed_at is None else self._clock() - confirmed_at
        is_expired = age is None or age > self._max_unconfirmed
        if is_expired != self._is_refusing:
            self._is_refusing = is_expired
            rounded_age = None if age is None else round(age, 1)
            if is_expired:
                logs.warning(
                    "credentials-refused",
                    version=version,
                    unconfirmed=rounded_age,
                    limit=self._max_unconfirmed,
                )
            else:
                logs.info("credentials-accepted", version=version, unconfirmed=rounded_age)
        return is_expired
