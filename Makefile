# Development commands; each sets up what it needs on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src
export HYPOTHESIS_PROFILE ?= ci
export PYTHONHASHSEED ?= 0

.PHONY: setup demo test known-red lint format types layers check bench

setup: $(BIN)/.ready

$(BIN)/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(BIN)/.ready

demo: setup
	$(BIN)/python -m galenastall.demo

# Tests that fail for a fault not mended yet; each line of the file is `test: cause; issue`.
KNOWN_RED := $(shell sed -n 's/^\(tests[^ ]*\): .*/\1/p' KNOWN-RED.txt 2>/dev/null)

test: setup
	@if [ -s KNOWN-RED.txt ]; then echo "passed over, see KNOWN-RED.txt:"; cat KNOWN-RED.txt; fi
	$(BIN)/python -m pytest $(addprefix --deselect=,$(KNOWN_RED))

known-red: setup
	$(if $(KNOWN_RED),$(BIN)/python -m pytest $(KNOWN_RED),@echo "KNOWN-RED.txt lists no test")

lint: setup
	$(BIN)/ruff check src tests

format: setup
	$(BIN)/black --quiet --check src tests

types: setup
	$(BIN)/mypy

layers: setup
	$(BIN)/lint-imports --no-cache

check: lint format types layers test
