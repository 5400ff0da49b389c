PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint scenarios unit binary bench reference measure sweeps soak capacity clean

# The stamp is newer than pyproject.toml once its dependencies are installed.
$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -e '.[dev]'
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/radishshunt demo

test: setup lint
	$(BIN)/python tests/run_all.py

lint: setup
	$(BIN)/black --check -q .
	$(BIN)/ruff check -q .

unit: setup
	$(BIN)/python -m pytest -q

scenarios: setup
	$(BIN)/behave --no-color --summary features

# Takes about 5 minutes on 4 processes; the sweeps of constants take as long again.
measure: setup
	$(BIN)/radishshunt experiment --part scenarios --seeds 3 --processes 4 --write docs/measurements.md
	$(BIN)/radishshunt experiment --part sharing --seeds 3 --processes 4 --write docs/measurements.md

sweeps: setup
	$(BIN)/radishshunt experiment --part sweeps --seeds 4 --processes 4 --write docs/measurements.md

binary: setup
	$(BIN)/pyinstaller --noconfirm --clean --onefile --name radishshunt --log-level ERROR \
	    --collect-all capnp --collect-data radishshunt --collect-submodules radishshunt \
	    radishshunt/__main__.py
	dist/radishshunt version

soak: setup
	$(BIN)/python -m tests.soak.run --seed 1

capacity: setup
	$(BIN)/python -m radishshunt.experiment.capacity

bench: setup
	$(BIN)/radishshunt bench

reference: setup
	$(BIN)/python docs/generate_settings.py

clean:
	rm -rf build dist report
