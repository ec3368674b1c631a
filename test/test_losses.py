"""The table of what played days lost."""

from bench.losses import REST, day_losses, table

DAY = {
    "name": "quiet-1",
    "G": 0.85,
    "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.5, 1.0]],
    "prices": [
        ["machine-seconds", 600.0, 0.05],
        ["worth refused again", 3.0, 0.02],
        ["worth given up late, untried", 2.0, 0.01],
        ["a price of tomorrow", 1.0, 0.02],
    ],
}


def test_a_day_adds_up_to_one_whatever_its_prices_are_called():
    day = day_losses(DAY)
    assert abs(day.worth + sum(day.losses.values()) - 1.0) < 1e-9
    assert day.losses["refusals"] == 0.03
    assert day.losses[REST] == 0.02


def test_the_table_has_a_row_a_day_and_a_column_a_cause():
    lines = table([day_losses(DAY)] * 2).splitlines()
    assert len(lines) == 4
    assert len({line.count("|") for line in lines}) == 1
