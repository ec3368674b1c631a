"""What one entry remembers of the announcements of one backend server.

The gate of the server keeps its limit and closes when it leaves. An entry remembers both as
well, because the gate's daemon may restart and forget them, or be of a version that does not
read them. It has them from the responses that it passed on, and from the gate's refusals.

An entry also adapts how often it picks a limited server, so that few of its tries there are
refused: less often after a refusal, more often after a response.
"""

from dataclasses import dataclass
from random import Random

from wheatslip.servernotice import UNKNOWN_START, ServerNotice, ServerStart

# A server that leaves ends within seconds. This ends the memory where no later start is named.
LEAVING_SECONDS = 60.0
FIRST_SHARE = 0.5  # of the usual picks, for a server that has just named a limit
MIN_SHARE = 0.05  # above 0, since a server tells only in responses that its limit has ended
REFUSED_FACTOR = 0.7  # of the share, after a refusal by a limited server
ANSWERED_INCREASE = 0.05  # of the share, after a response of a limited server
RETURN_SECONDS = 2.0  # until a server gets all of its picks again after its limit has ended


@dataclass(slots=True)
class NoticeMemory:
    """The announcements of one server. Times in seconds, monotonic."""

    start: ServerStart = UNKNOWN_START  # that made them
    rate: float | None = None  # requests per second; None: no limit
    _left_at: float | None = None  # when it said that it leaves; None: it did not
    _share: float = 1.0  # of the usual picks
    _share_at: float = 0.0

    def on_answer(self, notice: ServerNotice, now: float) -> None:
        """A response of the server was received; `notice` is all that it announces."""
        self._use_start(notice.start)
        self._set_rate(notice.rate, now)
        if notice.rate is not None:
            self._set_share(self._share + ANSWERED_INCREASE, now)
        if notice.leaving:
            self._left_at = now

    def on_refusal(self, notice: ServerNotice | None, now: float) -> None:
        """The gate refused a request; `notice` is what it knows, None if it knows nothing."""
        if notice is not None:
            self._use_start(notice.start)
            if notice.rate is not None:
                self._set_rate(notice.rate, now)
            if notice.leaving:
                self._left_at = now
        if self.rate is not None:
            self._set_share(self._share * REFUSED_FACTOR, now)

    def on_listed(self, start: ServerStart) -> None:
        """The list of instances names the start of the server that is there now."""
        self._use_start(start)

    def is_leaving(self, now: float) -> bool:
        """Whether the server has said that it leaves."""
        return self._left_at is not None and now - self._left_at < LEAVING_SECONDS

    def takes_part(self, now: float, rng: Random) -> bool:
        """Whether the server may be picked this time; random while its share is reduced."""
        share = self.share(now)
        return share >= 1.0 or rng.random() < share

    def share(self, now: float) -> float:
        """The share of its usual picks that the server gets."""
        if self.rate is not None or self._share >= 1.0:
            return self._share
        return min(1.0, self._share + (now - self._share_at) / RETURN_SECONDS)

    def notice(self) -> ServerNotice | None:
        """The limit, for the server's gate, which may have restarted; None if there is none."""
        return None if self.rate is None else ServerNotice(self.start, self.rate)

    def _use_start(self, start: ServerStart) -> None:
        """Forget what an earlier start of the server has announced."""
        if not start.may_equal(self.start):
            self.rate = None
            self._left_at = None
            self._share = 1.0
        if start.server:
            self.start = ServerStart(start.server, start.born or self._known_born(start))

    def _known_born(self, start: ServerStart) -> int:
        return self.start.born if start.server == self.start.server else 0

    def _set_rate(self, rate: float | None, now: float) -> None:
        if self.rate is None and rate is not None:
            self._set_share(min(FIRST_SHARE, self.share(now)), now)
        elif self.rate is not None and rate is None:
            self._share_at = now
        self.rate = rate

    def _set_share(self, share: float, now: float) -> None:
        self._share = min(1.0, max(MIN_SHARE, share))
        self._share_at = now
