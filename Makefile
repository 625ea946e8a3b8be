PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
CASE ?=

.PHONY: setup check lint test demo measure

setup: $(VENV)/ready

$(VENV)/ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -c constraints.txt setuptools
	$(PY) -m pip install --quiet --disable-pip-version-check -c constraints.txt --no-build-isolation -e ".[dev]"
	touch $@

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

test: setup
	$(PY) -m benchmarks.run_tests

check: lint test

demo: setup
	$(PY) -m demo.run

measure: setup
	$(PY) -m benchmarks.measure $(CASE)
