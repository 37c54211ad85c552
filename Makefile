# The targets that run Python create the venv first if needed, so that `make demo` and
# `make test` work on a fresh machine.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint fuzz soak capacity bench clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/coltsfoottray demo

test: $(VENV)/.installed
	$(BIN)/python -m tests

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

clean:
	rm -rf $(VENV)

# Runs longer than in CI, with new seeds each time. RUNS and STEPS set the length.
RUNS ?= 300
STEPS ?= 40
fuzz: $(VENV)/.installed
	$(BIN)/python -m properties jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties evacuated-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties refused-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties paced-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties parted-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties failing-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties replaced-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties silenced-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties unstorable-jobs $(RUNS) $(STEPS)
	$(BIN)/python -m properties takeovers $(RUNS) $(STEPS)
	$(BIN)/python -m properties configs $(RUNS) $(STEPS)
	$(BIN)/python -m properties keyed $(RUNS) $(STEPS)
	$(BIN)/python -m properties tasks $(RUNS) $(STEPS)
	$(BIN)/python -m properties lists $(RUNS) $(STEPS)

# The real programs as processes, under faults; FIRST is the first seed.
FIRST ?= 1
SEEDS ?= 50
SECONDS ?= 20
soak: $(VENV)/.installed
	$(BIN)/python -m soak --seeds $(FIRST)-$$(($(FIRST) + $(SEEDS) - 1)) --seconds $(SECONDS)

capacity: $(VENV)/.installed
	$(BIN)/python -m benchmarks.capacity

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks.keyed_requests
	$(BIN)/python -m benchmarks.propagation
	$(BIN)/python -m benchmarks.policies
	$(BIN)/python -m benchmarks.outage
	$(BIN)/python -m benchmarks.pressures
	$(BIN)/python -m benchmarks.overload
	$(BIN)/python -m benchmarks.connections
