# Everything a newcomer runs. Each target sets up the environment it needs.
VENV ?= .venv
PY = $(VENV)/bin/python
SETUP = $(VENV)/.installed
PACKAGES = packages/wheatslip packages/wheatslipd packages/wheatslip-cli

.PHONY: demo soak test lint format bench bench-fairness bench-memory bench-quarantine bench-ranks bench-streams clean

$(SETUP): requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet $(addprefix -e ,$(PACKAGES)) -r requirements-dev.txt
	touch $(SETUP)

demo: $(SETUP)
	$(PY) -m demo.demo

# The same seed plays the same faults again, if a guarantee was violated.
SEED ?= 1
MINUTES ?= 1
soak: $(SETUP)
	$(PY) -m soak --seed $(SEED) --minutes $(MINUTES)

test: $(SETUP)
	$(PY) -m pytest

lint: $(SETUP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(SETUP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(SETUP)
	$(PY) -m bench.path

bench-fairness: $(SETUP)
	$(PY) -m bench.fairness

bench-memory: $(SETUP)
	$(PY) -m bench.memory

bench-quarantine: $(SETUP)
	$(PY) -m bench.quarantine

bench-ranks: $(SETUP)
	$(PY) -m bench.ranks

bench-streams: $(SETUP)
	$(PY) -m bench.streams

clean:
	rm -rf $(VENV) out
