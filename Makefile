# Development commands; each sets up what it needs on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src
export HYPOTHESIS_PROFILE ?= ci
export PYTHONHASHSEED ?= 0

.PHONY: setup demo test lint format types layers check bench

setup: $(BIN)/.ready

$(BIN)/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $(BIN)/.ready

demo: setup
	$(BIN)/python -m galenastall.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check src tests

format: setup
	$(BIN)/black --quiet --check src tests

types: setup
	$(BIN)/mypy

layers: setup
	$(BIN)/lint-imports --no-cache

check: lint format types layers test
