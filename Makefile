VENV ?= .venv
PYTHON ?= python3
DEPLOYMENT ?= kandula
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo bench binary generate clean

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

test: $(STAMP) lint
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: $(STAMP)
	$(BIN)/python -m tools.demo --deployment $(DEPLOYMENT)

bench: $(STAMP)
	$(BIN)/python -m benchmarks

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py

generate:
	test -x build/generate/bin/python || $(PYTHON) -m venv build/generate
	build/generate/bin/pip install --quiet -r requirements-generate.txt
	PATH=$$PWD/build/generate/bin:$$PATH build/generate/bin/python -m grpc_tools.protoc -I . --python_out=. --grpclib_python_out=. cardamombarrow/peers/*/*.proto

clean:
	rm -rf build dist run .pytest_cache .ruff_cache
