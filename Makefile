# Two commands for a newcomer: `make run` and `make test`.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DURATION_S ?= 0
# Further options of the demonstration, such as --kill_one.
DEMO_OPTIONS ?=
# Further options of the soak.
SOAK_OPTIONS ?=
SOURCES := $(shell find berylhaven -name '*.py' -not -path '*/tests/*')

.PHONY: run run-gateways test bench slopes soak entry-soak install format lint unit docs binary smoke clean clean-venv

run: binary
	$(BIN)/python -m standins.demo --duration_s=$(DURATION_S) \
		--program=dist/berylhaven $(DEMO_OPTIONS)

# The platform's path: gateways, a store, servers and callers as processes.
run-gateways: install
	$(BIN)/python -m standins.gateway_demo --duration_s=$(or $(filter-out 0,$(DURATION_S)),10)

test: clean-venv install lint unit binary smoke

clean-venv:
	rm -rf $(VENV)

install: $(VENV)/installed

$(VENV)/installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tools.check_docstrings

unit: install
	$(BIN)/python -W "ignore:.*Eventlet is deprecated" -m tools.run_tests

docs: install
	$(BIN)/python -W "ignore:.*Eventlet is deprecated" -m tools.make_docs

binary: dist/berylhaven

dist/berylhaven: $(SOURCES) requirements.txt tools/build_binary.py $(VENV)/installed
	$(BIN)/python -m tools.build_binary

smoke: binary
	$(BIN)/python -m tools.smoke_test dist/berylhaven

bench: install
	$(BIN)/python -m bench.routing

slopes: install
	$(BIN)/python -W "ignore:.*Eventlet is deprecated" -m bench.slopes

# Seeded faults around gateways as processes; SOAK_OPTIONS="--seed=7 --count=50".
soak: install
	$(BIN)/python -W "ignore:.*Eventlet is deprecated" -m bench.gateway_soak \
		--duration_s=$(DURATION_S) $(SOAK_OPTIONS)

# The same for the older role, the entry instance.
entry-soak: install
	$(BIN)/python -m bench.soak --duration_s $(DURATION_S)

clean:
	rm -rf build dist .hypothesis .ruff_cache
