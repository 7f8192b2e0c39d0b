PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: venv demo test lint docs dist bench clean

venv: $(VENV)/.done

$(VENV)/.done: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --no-deps -r requirements.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -e .
	touch $@

demo: venv
	$(BIN)/ringseam demo --once

test: venv
	$(BIN)/python -m pytest

lint: venv
	$(BIN)/ruff format --check ringseam tests bench
	$(BIN)/ruff check ringseam tests bench
	$(BIN)/flake8 ringseam tests bench

dist: venv
	$(BIN)/python -m bench.dist

clean:
	rm -rf $(VENV) build dist *.egg-info
