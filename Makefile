PYTHON ?= python3.11
DEPLOYMENT ?= pantry
SEEDS ?= 5
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test test-crowds test-faults fuzz soak measure format

setup: $(STAMP)

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt --no-build-isolation --editable '.[dev]'
	touch $(STAMP)

demo: setup
	$(BIN)/python -m hyssopway_standins.demo --deployment $(DEPLOYMENT)

test: setup
	$(BIN)/ruff format --check src tests platform
	$(BIN)/ruff check src tests platform
	$(BIN)/mypy
	$(BIN)/python -m pytest -n 4 -m 'not faults and not crowds' tests
	$(MAKE) test-crowds PYTHON=$(PYTHON)

# One test at a time and apart from the others, because each measures the memory of a process under load.
test-crowds: setup
	$(BIN)/python -m pytest -m crowds tests/crowds

test-faults: setup
	$(BIN)/python -m pytest -n 2 -m faults tests

fuzz: setup
	FUZZ_FRESH=1 $(BIN)/python -m pytest -n 4 --timeout 900 tests/adapter/test_fuzzed_input.py

soak: setup
	PYTHONPATH=tests:platform $(BIN)/python -m soak --seeds $(SEEDS)

measure: setup
	$(BIN)/python -m hyssopway_standins.measure

format: setup
	$(BIN)/ruff format src tests platform
	$(BIN)/ruff check --fix src tests platform
