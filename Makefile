PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= monteverde
PACKAGES := $(patsubst %,-e packages/%,savorylead savorylead-daemon savorylead-ctl savorylead-standins) \
	-e platform

.PHONY: capacity faults demo platform rig test lint format bench venv clean

venv: $(VENV)/installed

$(VENV)/installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) \
	platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation $(PACKAGES)
	touch $@

demo: venv
	$(BIN)/python -m savorylead_standins.demo --config examples/$(EXAMPLE).json

rig: venv
	$(BIN)/python -m savorylead_standins.rig --config examples/$(EXAMPLE).json

platform: venv
	$(BIN)/python -m savorylead_platform_standin

lint: venv
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: venv
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint
	$(BIN)/python -m pytest -n 8

bench: venv
	$(BIN)/python -m bench

faults: venv
	$(BIN)/python -m savorylead_standins.faults

capacity: venv
	$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) out
