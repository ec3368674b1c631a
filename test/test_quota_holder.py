"""The tokens of an entry: lifetime, asks ahead, refusals."""

import math

import pytest
from wheatslip.quota.holder import MAX_REFUSE_SECONDS, MAX_WORKSPACES, TokenHolder
from wheatslip.quota.messages import TokenGrant
from wheatslip.quota.settings import QuotaSettings

SETTINGS = QuotaSettings()
LIFETIME = SETTINGS.token_lifetime


def holder_with(tokens, asked_at=0.0, now=0.0):
    holder = TokenHolder(SETTINGS)
    holder.on_grant("alpha", TokenGrant(tokens), tokens, asked_at, now)
    return holder


def test_a_token_is_used_once_within_its_lifetime():
    holder = holder_with(2)
    assert holder.take("alpha", 0.1) is not None
    assert holder.take("alpha", LIFETIME - 0.001) is not None
    assert holder.take("alpha", LIFETIME - 0.001) is None


@pytest.mark.parametrize("answered", [0.0, 0.2, 30.0])
def test_the_lifetime_counts_from_the_ask(answered):
    """Guards against a slow answer, or a process that was frozen, with late tokens."""
    holder = holder_with(5, 0.0, answered)
    assert holder.take("alpha", max(answered, LIFETIME)) is None


def test_a_repeated_or_overtaken_answer_is_ignored():
    holder = holder_with(1, 1.0, 1.0)
    holder.on_grant("alpha", TokenGrant(1), 1, 1.0, 1.0)
    holder.on_grant("alpha", TokenGrant(1), 1, 0.9, 1.0)
    assert holder.take("alpha", 1.0) is not None
    assert holder.take("alpha", 1.0) is None


def test_more_tokens_than_asked_for_are_not_used():
    holder = TokenHolder(SETTINGS)
    holder.on_grant("alpha", TokenGrant(50), 1, 0.0, 0.0)
    assert holder.take("alpha", 0.0) is not None
    assert holder.take("alpha", 0.0) is None


def test_a_request_that_did_not_run_gives_its_token_back():
    holder = holder_with(1)
    token = holder.take("alpha", 0.0)
    holder.give_back(token, 0.1)
    assert holder.take("alpha", 0.1) == token


@pytest.mark.parametrize("dropped", [False, True])
def test_a_token_of_an_old_limit_or_that_expired_is_not_taken_back(dropped):
    """Guards against requests above a limit that was lowered while others were refused."""
    holder = holder_with(1)
    token = holder.take("alpha", 0.0)
    if dropped:
        holder.drop_tokens("alpha", 0.1)
    now = 0.1 if dropped else LIFETIME
    holder.give_back(token, now)
    assert holder.take("alpha", now) is None


def test_tokens_of_an_old_limit_are_dropped_also_when_they_arrive_later():
    holder = holder_with(5)
    holder.drop_tokens("alpha", 0.1)
    assert holder.take("alpha", 0.1) is None
    holder.on_grant("alpha", TokenGrant(5), 5, 0.09, 0.11)
    assert holder.take("alpha", 0.11) is None
    holder.on_grant("alpha", TokenGrant(5), 5, 0.1, 0.12)
    assert holder.take("alpha", 0.12) is not None


def ask_steadily(holder, rate, seconds, grant=lambda wanted: wanted):
    """Requests at an even rate; returns the tokens asked for and those that expired."""
    asked = used = 0
    for number in range(int(rate * seconds)):
        now = number / rate
        holder.on_arrival("alpha", now)
        if holder.take("alpha", now) is None:
            wanted = holder.wanted("alpha", 1, now)
            asked += wanted
            holder.on_grant("alpha", TokenGrant(grant(wanted), 0.001), wanted, now, now)
            if holder.take("alpha", now) is not None:
                used += 1
        else:
            used += 1
    return asked, asked - used


def test_a_rare_request_asks_for_one_token():
    """Guards against tokens that expire unused, which would lower a small limit."""
    assert ask_steadily(TokenHolder(SETTINGS), 1.0, 20.0) == (20, 0)


def test_a_busy_entry_asks_ahead_and_wastes_little():
    asks = []
    asked, expired = ask_steadily(
        TokenHolder(SETTINGS), 100.0, 10.0, lambda wanted: asks.append(wanted) or wanted
    )
    assert max(asks) > 10
    assert len(asks) < 300
    assert expired < 0.03 * asked


def test_asks_fit_what_the_owner_grants():
    """Guards against an entry that is refused because it expects more than the owner holds."""
    asks = []

    def grant(wanted):
        asks.append(wanted)
        return min(wanted, 5)

    holder = TokenHolder(SETTINGS)
    ask_steadily(holder, 100.0, 10.0, grant)
    assert max(asks) <= 6
    assert holder.refused_for("alpha", 10.0) == 0


def test_a_shortage_of_tokens_asked_for_ahead_refuses_nobody():
    holder = TokenHolder(SETTINGS)
    holder.wanted("alpha", 1, 0.0)
    holder.on_grant("alpha", TokenGrant(1, 5.0), 3, 0.0, 0.0)
    assert holder.refused_for("alpha", 0.0) == 0


@pytest.mark.parametrize(
    ("told", "seconds"),
    [(0.01, 0.01), (5.0, MAX_REFUSE_SECONDS), (math.inf, MAX_REFUSE_SECONDS)],
)
def test_it_refuses_until_the_next_token_but_not_for_long(told, seconds):
    holder = TokenHolder(SETTINGS)
    holder.wanted("alpha", 3, 0.0)
    holder.on_grant("alpha", TokenGrant(1, told), 3, 0.0, 0.0)
    assert holder.refused_for("alpha", 0.0) == pytest.approx(seconds)
    assert holder.refused_for("alpha", seconds) == 0


def test_refused_callers_are_told_different_times():
    """Guards against callers that return together."""
    holder = TokenHolder(SETTINGS)
    holder.wanted("alpha", 5, 0.0)
    holder.on_grant("alpha", TokenGrant(0, 0.5), 5, 0.0, 0.0)
    times = [holder.retry_after("alpha", 10.0, 0.0) for _ in range(5)]
    assert times == pytest.approx([0.5, 0.6, 0.7, 0.8, 0.9])
    assert holder.retry_after("alpha", 10.0, 0.4) == pytest.approx(0.6)  # 1.0 from the start


def test_the_number_of_workspaces_is_bounded():
    holder = TokenHolder(SETTINGS)
    for number in range(MAX_WORKSPACES + 10):
        holder.on_arrival(f"w{number}", 0.0)
    assert len(holder._workspaces) == MAX_WORKSPACES
