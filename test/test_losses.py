"""The table of losses by day and cause."""

from bench.losses import REST, day_losses, table

DAY = {
    "name": "quiet-1",
    "G": 0.85,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.5, 1.0]],
    "prices": [
        ["machine-seconds", 600.0, 0.05],
        ["worth refused again", 3.0, 0.02],
        ["worth given up late, untried", 2.0, 0.01],
        ["an unlisted price", 1.0, 0.02],
    ],
}


def test_worth_and_losses_add_up_to_one_with_an_unlisted_price():
    day = day_losses(DAY)
    assert abs(day.worth + sum(day.losses.values()) - 1.0) < 1e-9
    assert day.losses["refusals"] == 0.03
    assert day.losses[REST] == 0.02


def test_table_has_a_row_per_day_and_a_column_per_cause():
    lines = table([day_losses(DAY)] * 2).splitlines()
    assert len(lines) == 4
    assert len({line.count("|") for line in lines}) == 1
