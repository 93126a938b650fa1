PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test crowds lint lint-format lint-style lint-types model bench slopes soak soak-hosts takeover fuzz format generate

install: $(BIN)/curranthill

$(BIN)/curranthill: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(BIN)/curranthill

demo: install
	$(BIN)/curranthill demo

test: install
	$(BIN)/python -m nose2 --start-dir tests --top-level-directory .

# Apart from other load, one crowd at a time.
crowds: install
	$(BIN)/python -m nose2 --start-dir crowds --top-level-directory .

lint: lint-format lint-style lint-types

lint-format: install
	$(BIN)/ruff format --check src tests bench crowds

lint-style: install
	$(BIN)/flake8 src tests bench crowds

lint-types: install
	$(BIN)/mypy

format: install
	$(BIN)/ruff format src tests bench crowds

model:
	sh spec/check.sh

bench: install
	$(BIN)/python -m bench.run

slopes: install
	$(BIN)/python -m bench.slopes

soak: install
	$(BIN)/python -m bench.soak

soak-hosts: install
	$(BIN)/python -m bench.soak_hosts --seed 1 --count 50

takeover: install
	$(BIN)/python -m bench.takeover

fuzz: install
	HYPOTHESIS_PROFILE=deep $(BIN)/python -m nose2 --start-dir tests --top-level-directory .

generate: install
	PATH="$(CURDIR)/$(BIN):$$PATH" $(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --pyi_out=src --grpclib_python_out=src src/curranthill/protocol/inner.proto
