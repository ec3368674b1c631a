"""At most once at this daemon: the lease on keys, their ownership, and the ledger, as one."""

from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.call import Call
from wheatslip.ledger import Claim, KeptAnswer, KeyLedger, KeyState
from wheatslip.outcome import Answered, NotRun, Outcome, Reason, Unknown
from wheatslip.owners import OwnerHistory
from wheatslip.retryafter import LEASE_LAPSED, NOT_KEY_OWNER


@dataclass(slots=True)
class KeyGuard:
    """Decides whether a call bound by its key may run here. `unix` is the clock, in seconds;
    `list_checked` returns when the list of instances was last checked, by the same clock.
    """

    name: str
    ledger: KeyLedger
    owners: OwnerHistory
    unix: Callable[[], float]
    list_checked: Callable[[], float]

    def claim(self, call: Call) -> Claim | NotRun | Unknown:
        """A claim that is fresh (run, then `settle`) or done (answer again), or an outcome."""
        now = self.unix()
        if not self.owners.is_lease_held(self.list_checked(), now):
            # We may have been frozen or cut off, and another may own the key by now.
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
        """Note what became of a fresh claim; `kept` has a status if it is whole."""
        match outcome:
            case NotRun():
                self.ledger.not_run(call.workspace, call.key)
            case Answered():
                answer = kept if kept.status else None
                self.ledger.done(call.workspace, call.key, answer)
            case Unknown():
                self.ledger.done(call.workspace, call.key, None)
