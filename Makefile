# Every target sets up what it needs: a fresh clone and the package
# registries are enough.
PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed
BIN := $(VENV)/bin

.PHONY: demo test lint format

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m godwitloft.standalone demo

test: $(STAMP)
	$(BIN)/python -m behave --format progress3 --no-color features

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
