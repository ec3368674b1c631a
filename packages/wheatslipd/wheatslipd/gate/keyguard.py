"""At-most-once execution of calls with a key: checks lease, key owner and key ledger."""

from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.call import Call
from wheatslip.ledger import Claim, KeptAnswer, KeyLedger, KeyState
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.owners import OwnerHistory
from wheatslip.retryafter import LEASE_LAPSED, NOT_KEY_OWNER


@dataclass(slots=True)
class KeyGuard:
    """Decides whether a call that may run only once by its key may run at this daemon.

    `name` is the name of this daemon. `unix` is the wall clock, in Unix seconds;
    `list_checked_at` returns when the list of instances was last checked, by the same clock.
    """

    name: str
    ledger: KeyLedger
    owners: OwnerHistory
    unix: Callable[[], float]
    list_checked_at: Callable[[], float]

    def claim(self, call: Call) -> Claim | NotRun | Unknown:
        """Claim the key of a call.

        If the claim is fresh, the caller runs the call and then calls `settle`. If it is done,
        the caller repeats the kept answer. Any other outcome is final.
        """
        now = self.unix()
        if not self.owners.is_lease_held(self.list_checked_at(), now):
            # The daemon may have been suspended or partitioned; another may own the key now.
            return LEASE_LAPSED
        exclusive_since = self.owners.exclusive_since(call.qualified_key, self.name)
        if exclusive_since is None:
            return NOT_KEY_OWNER
        claim = self.ledger.claim(call.workspace, call.key, exclusive_since, now)
        match claim.state:
            case KeyState.FROM_THE_FUTURE:
                return NotRun(Reason.BAD_REQUEST)
            case KeyState.TOO_OLD:
                return Unknown(Reason.KEY_TOO_OLD)
            case KeyState.RUNNING:
                return Unknown(Reason.DUPLICATE)
        return claim

    def settle(self, call: Call, outcome: Outcome, kept: KeptAnswer) -> None:
        """Record the outcome of a fresh claim; `kept` has a status only if it is complete."""
        match outcome:
            case NotRun():
                self.ledger.not_run(call.workspace, call.key)
            case Answered():
                answer = kept if kept.status else None
                self.ledger.done(call.workspace, call.key, answer)
            case Unknown():
                self.ledger.done(call.workspace, call.key, None)
