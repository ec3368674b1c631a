"""Handover of a limit: which daemon is active for a workspace, that is, grants the full rate.

The first candidate in the list should become active. It asks the candidates after it (a
`Takeover`), of which the active one yields. Decisions beyond
docs/design/handover-and-late-requests.md, so that at most one daemon is active:

- A daemon that answered that nobody is active has promised the sender not to become active
  itself. Without that, two daemons with different lists could both take over.
- A daemon that has had its list for less than `UNCERTAIN_SECONDS` cannot know who was active
  before. Its answer says so, and further candidates are asked, `MAX_ASKED` at most.
- A removed daemon may be active only if all members before it in rendezvous order were listed
  for less than `UNCERTAIN_SECONDS`; otherwise its own list showed one of them.
- Requests name the daemons whose processes ended (`ended`), because only the second candidate
  is asked with `failover`.
- A daemon that is listed as leaving is asked too, because it may see its own entry later than
  others, or not at all. It yields to the next one in its list. If it is silent, it counts as
  removed without leaving.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from math import inf

from wheatslip.owners import rendezvous_weights
from wheatslip.quota.candidates import Candidates
from wheatslip.quota.messages import TakeoverAnswer, TakeoverRequest

SETTLE_SECONDS = 3.0  # lists differ for up to 1.6 s; by then every entry has the new one
# An active daemon stops being active when its list was not confirmed for that long. A platform
# that is silent for less has no effect.
LIST_LEASE_SECONDS = 30.0
# An active daemon that is no longer the first stops by then, if nobody took over before.
YIELD_SECONDS = 10.0
# After a change of the list, no daemon that the change replaced is active for longer.
UNCERTAIN_SECONDS = LIST_LEASE_SECONDS + YIELD_SECONDS
RETRY_SECONDS = 1.0  # between two takeovers of a workspace
# The answers of a longer takeover do not count, as when this process was frozen meanwhile.
MAX_TAKEOVER_SECONDS = 2.0
INFORMED_ANSWERS = 2  # after which no further candidate is asked
MAX_ASKED = 4  # candidates after the new primary
MAX_WORKSPACES = 4096  # limits memory


@dataclass(slots=True)
class Takeover:
    """One takeover of a workspace in progress: the daemons to ask, and what they answered."""

    workspace: str
    begun_at: float
    leaving: tuple[str, ...]  # asked first
    candidates: tuple[str, ...]
    inactive: set[str] = field(default_factory=set)  # of those asked
    _asked: int = 0
    _informed: int = 0
    tokens: float | None = None  # of the daemon that yielded
    active_seconds: float = 0.0  # until the active daemon yields, if it has not
    has_doubt: bool = False  # a daemon was silent, or another one may be active

    @property
    def next_owner(self) -> str | None:
        """The daemon to ask now; None when the takeover is decided."""
        if self.tokens is not None or self.active_seconds > 0:
            return None
        if self._informed >= INFORMED_ANSWERS:
            return None
        return self._owners[self._asked] if self._asked < len(self._owners) else None

    @property
    def _owners(self) -> tuple[str, ...]:
        return self.leaving + self.candidates

    def on_answer(self, answer: TakeoverAnswer) -> None:
        if answer.is_active and answer.seconds <= 0:
            self.tokens = answer.tokens
        elif answer.is_active:
            self.active_seconds = answer.seconds
        elif answer.seconds > 0:
            self.has_doubt = True
        if answer.seconds <= 0:
            self.inactive.add(self._owners[self._asked])
        if self._asked >= len(self.leaving) and not answer.is_new:
            self._informed += 1
        self._asked += 1

    def on_ended(self) -> None:
        """No process runs there, or one of a version that is never active."""
        self.inactive.add(self._owners[self._asked])
        self._asked += 1

    def on_silence(self) -> None:
        self.has_doubt = True
        self._asked += 1
        self._informed += 1  # one more is asked, as it may be active; none can remove the doubt


@dataclass(slots=True)
class _State:
    """One workspace. Times are in seconds, monotonic."""

    is_first: bool  # in the own list
    first_since: float
    is_active: bool = False
    active_until: float = inf  # while another daemon is listed before this one
    is_in_progress: bool = False  # a takeover
    retry_at: float = -inf
    is_declining: bool = False
    promised: dict[str, float] = field(default_factory=dict)  # daemons that may have taken over


class Handover:
    """Whether this daemon is active, by workspace, and what it tells others that take over."""

    def __init__(self, name: str, candidates: Candidates, list_lease: float):
        """`candidates` are those of the list in use; they change before `set_members`."""
        self._name = name
        self._candidates = candidates
        self._list_lease = list_lease
        self.lapses_at = -inf  # when the list is no longer relied on
        self._list_since = inf  # first list, or first confirmation after a lapse
        self._members_since = inf
        self._members: frozenset[str] = frozenset()
        self._joined: dict[str, float] = {}  # members listed for a short time
        self._removed: dict[str, float] = {}  # without leaving
        self._left: dict[str, float] = {}
        self._ended: dict[str, float] = {}  # processes that had ended at this time
        self._started: dict[str, float] = {}  # daemons that asked to take over
        self._states: OrderedDict[str, _State] = OrderedDict()  # least recently used first

    def confirm(self, confirmed_at: float, now: float) -> bool:
        """The store had this list at `confirmed_at`; returns true if a lapse ends by that."""
        lapses_at = confirmed_at + self._list_lease
        has_lapsed = now >= self.lapses_at and now < lapses_at
        if has_lapsed:
            self._list_since = self._members_since = now
            for state in self._states.values():
                state.is_active = False
                state.first_since = now
                state.retry_at = -inf
        self.lapses_at = max(self.lapses_at, lapses_at)
        return has_lapsed

    def set_members(
        self, members: frozenset[str], leaving: Collection[str], now: float
    ) -> None:
        """Applies a changed list; `leaving` are those that are listed as such."""
        self._forget(now)
        for name in members - self._members:
            self._joined[name] = now
            self._removed.pop(name, None)
            self._left.pop(name, None)
        for name in self._members - members:
            self._joined.pop(name, None)
            if name not in leaving:
                self._removed[name] = now
        for name in leaving:
            self._removed.pop(name, None)
            self._left.setdefault(name, now)
        if members != self._members:
            self._members_since = now
        self._members = members
        for workspace, state in self._states.items():
            self._update(workspace, state, now)

    def is_active(self, workspace: str, now: float) -> bool:
        state = self._states.get(workspace)
        return state is not None and self._is_active(state, now)

    def active_until(self, workspace: str) -> float:
        """When this daemon stops being active for one that is listed before it; else inf."""
        state = self._states.get(workspace)
        return state.active_until if state is not None else inf

    def is_declining(self, workspace: str, now: float) -> bool:
        """Whether asks go to the next candidate, because another daemon is active."""
        state = self._states.get(workspace)
        if state is None or not state.is_declining:
            return False
        return state.is_first and not self._is_active(state, now) and now < self.lapses_at

    def begin(self, workspace: str, now: float) -> Takeover | None:
        """The takeover that is due now, if any; `finish` must follow."""
        if self._first(workspace) != self._name or now >= self.lapses_at:
            return None
        state = self._state_of(workspace, now)
        if self._is_active(state, now) or state.is_in_progress or now < state.retry_at:
            return None
        state.is_in_progress = True
        leaving = tuple(
            name
            for name, time in self._left.items()
            if now < time + UNCERTAIN_SECONDS
            and name != self._name
            and self._may_have_been_active(workspace, name, now)
        )
        after = self._candidates.of(workspace)[1 : MAX_ASKED + 1]
        return Takeover(workspace, now, leaving, after)

    def request_to(self, takeover: Takeover, owner: str) -> TakeoverRequest:
        return TakeoverRequest(
            self._name,
            takeover.workspace,
            owner,
            tuple(self._ended),
            owner in takeover.leaving,
        )

    def finish(self, takeover: Takeover, now: float) -> float | None:
        """Decides by the answers. If another daemon yielded to this one, returns its tokens."""
        state = self._state_of(takeover.workspace, now)
        state.is_in_progress = False
        state.is_declining = False
        state.retry_at = now + RETRY_SECONDS
        for name in takeover.inactive:
            if state.promised.get(name, inf) <= takeover.begun_at:
                # It is not active. A later promise stays, as it may be taking over now.
                del state.promised[name]
        is_late = now > takeover.begun_at + MAX_TAKEOVER_SECONDS
        if not state.is_first or now >= self.lapses_at or is_late:
            return None
        if takeover.tokens is not None:
            # Only a daemon that was taking over at the same time can be active beside this one.
            if any(time > now - MAX_TAKEOVER_SECONDS for time in state.promised.values()):
                return None  # the tokens are lost
            self._activate(state)
            return takeover.tokens
        if takeover.active_seconds > 0:
            state.is_declining = True
            state.retry_at = now + min(RETRY_SECONDS, takeover.active_seconds)
            return None
        own_doubt = self._promise_wait(state, now) > 0
        has_doubt = (
            takeover.has_doubt
            or takeover.next_owner is not None  # it broke off
            or self._removed_wait(takeover.workspace, "", now) > 0
        )
        if not own_doubt and (not has_doubt or now >= state.first_since + UNCERTAIN_SECONDS):
            self._activate(state)
        return None

    def answer(self, request: TakeoverRequest, now: float) -> TakeoverAnswer:
        """Answers another daemon; with `is_active` and 0 seconds, this one has yielded."""
        workspace, sender = request.workspace, request.sender
        self._started[sender] = now
        self._ended.pop(sender, None)
        for name in request.ended:
            self.note_ended(name, now)
        state = self._state_of(workspace, now)
        if self._is_active(state, now):
            wait = self._yield_wait(request, now)
            if wait <= 0:
                state.is_active = False
                state.retry_at = now + RETRY_SECONDS
                state.promised[sender] = now
            return TakeoverAnswer(max(0.0, wait), is_active=True)
        wait = max(
            self._removed_wait(workspace, sender, now), self._promise_wait(state, now, sender)
        )
        if wait <= 0:
            state.promised[sender] = now
        is_new = now < self._list_since + UNCERTAIN_SECONDS
        return TakeoverAnswer(wait, is_new=is_new)

    def note_failover(self, workspace: str, now: float) -> None:
        """An entry found that no process of the candidates before this one runs.

        Not counted soon after a change of the list: the entry may have another one.
        """
        order = self._candidates.of(workspace)
        if self._name in order and now >= self._members_since + SETTLE_SECONDS:
            for name in order[: order.index(self._name)]:
                self.note_ended(name, now)

    def note_ended(self, name: str, now: float) -> None:
        """No process of `name` runs.

        Not counted soon after that daemon asked to take over: the entry may have an old list.
        """
        if name != self._name and now >= self._started.get(name, -inf) + SETTLE_SECONDS:
            self._ended[name] = now

    def uncertain_before(self, workspace: str, now: float) -> int:
        """How many daemons before this one were removed lately, whether they may run or not."""
        return sum(
            self._precedes(workspace, name, self._name)
            for name, time in self._removed.items()
            if now < time + UNCERTAIN_SECONDS
        )

    def _yield_wait(self, request: TakeoverRequest, now: float) -> float:
        """Seconds until this active daemon yields to the sender; 0: it yields now."""
        if request.is_leaving and self._candidates.of(request.workspace)[:2] in (
            (self._name, request.sender),
            (request.sender,),
        ):
            return 0.0
        is_listed = request.sender in self._members
        if not is_listed or not self._precedes(request.workspace, request.sender, self._name):
            return SETTLE_SECONDS
        return max(0.0, self._joined.get(request.sender, -inf) + SETTLE_SECONDS - now)

    def _removed_wait(self, workspace: str, sender: str, now: float) -> float:
        """Seconds for which a removed daemon may be active."""
        return max(
            (
                time + UNCERTAIN_SECONDS - now
                for name, time in self._removed.items()
                if name != sender
                and not self._has_ended(name, time - SETTLE_SECONDS)
                and self._may_have_been_active(workspace, name, now)
            ),
            default=0.0,
        )

    def _promise_wait(self, state: _State, now: float, sender: str = "") -> float:
        """Seconds for which a daemon that asked this one may be active."""
        return max(
            (
                time + UNCERTAIN_SECONDS - now
                for name, time in state.promised.items()
                if name != sender and name not in self._left and not self._has_ended(name, time)
            ),
            default=0.0,
        )

    def _has_ended(self, name: str, since: float) -> bool:
        """Whether the process of `name` was found to have ended after `since`.

        An older finding does not count, because the daemon may have restarted unnoticed.
        """
        return self._ended.get(name, -inf) > since

    def _may_have_been_active(self, workspace: str, name: str, now: float) -> bool:
        for member in self._candidates.of(workspace):
            if not self._precedes(workspace, member, name):
                return True
            if now >= self._joined.get(member, -inf) + UNCERTAIN_SECONDS:
                return False
        return True

    def _is_active(self, state: _State, now: float) -> bool:
        return state.is_active and now < min(state.active_until, self.lapses_at)

    def _activate(self, state: _State) -> None:
        state.is_active = True
        state.active_until = inf
        state.promised.clear()

    def _first(self, workspace: str) -> str:
        return next(iter(self._candidates.of(workspace)), "")

    @staticmethod
    def _precedes(workspace: str, one: str, other: str) -> bool:
        weights = list(rendezvous_weights(workspace, (one, other)))
        return (weights[0], one) > (weights[1], other)

    def _state_of(self, workspace: str, now: float) -> _State:
        state = self._states.get(workspace)
        if state is None:
            is_first = self._first(workspace) == self._name
            state = _State(is_first, min(now, self._members_since))
            self._states[workspace] = state
            if len(self._states) > MAX_WORKSPACES:
                self._states.popitem(last=False)
        self._states.move_to_end(workspace)
        return state

    def _update(self, workspace: str, state: _State, now: float) -> None:
        is_first = self._first(workspace) == self._name
        if is_first and not state.is_first:
            state.first_since = now
            state.retry_at = -inf
        if self._name in self._left or not self._is_active(state, now):
            state.is_active = False  # also when this daemon becomes the first again
        if is_first:
            state.active_until = inf
        elif state.is_first and state.is_active:
            state.active_until = now + YIELD_SECONDS
        state.is_first = is_first

    def _forget(self, now: float) -> None:
        for times in (self._joined, self._removed, self._left, self._ended, self._started):
            _drop_before(times, now - UNCERTAIN_SECONDS)


def _drop_before(times: dict[str, float], since: float) -> None:
    expired: Iterable[str] = [name for name, time in times.items() if time <= since]
    for name in expired:
        del times[name]
