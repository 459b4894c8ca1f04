# Commands for developers; `make help` lists them.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
DEPLOYMENT ?= hoardline
EXPLORE_SECONDS ?= 600
SECONDS ?= 30
# Processes of the tests; those of one file share a process, in order.
TEST_JOBS ?= 3

.PHONY: help venv test lint format generate check-generated unit demo \
	binary smoke bench capacity matrix explore soak production clean

help:  ## List the targets.
	@grep -E '^[a-z-]+:.*## ' Makefile | sed 's/:.*## /\t/'

venv: $(VENV)/installed  ## Create the virtual environment.

$(VENV)/installed: requirements/run.txt requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements/dev.txt
	touch $@

test: venv lint check-generated unit smoke  ## Everything that CI runs.

lint: venv  ## Formatter and linters, as checks.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 buckthorntack tools benchmarks

format: venv  ## Apply the formatter and the safe fixes.
	$(BIN)/ruff check --fix -q . || true
	$(BIN)/ruff format .

generate: venv  ## Write the generated code anew.
	$(BIN)/python -m tools.generate
	$(BIN)/python -m tools.reference

check-generated: venv  ## Fail if the generated code is out of date.
	$(BIN)/python -m tools.generate --check
	$(BIN)/python -m tools.reference --check
	$(BIN)/python -m tools.fault_matrix --check

unit: venv  ## Unit tests, doctests and the fault matrix.
	$(BIN)/python -m pytest -n $(TEST_JOBS) --dist loadfile

matrix: venv  ## Run the tests and write the fault matrix.
	mkdir -p build
	$(BIN)/python -m pytest --junitxml=build/tests.xml
	$(BIN)/python -m tools.fault_matrix --results build/tests.xml

explore: venv  ## Search for events that break a group.
	$(BIN)/python -m tools.explore --seconds $(EXPLORE_SECONDS)

capacity: venv  ## Measure the slopes of docs/CAPACITY.md (minutes).
	$(BIN)/python -m benchmarks.capacity

soak: venv  ## Real processes under faults (SEED, SECONDS).
	$(BIN)/python -m tools.soak --seconds $(SECONDS) \
		$(if $(SEED),--seed $(SEED))

production: venv  ## Name HEAD in deploy/system.toml, and record its messages.
	test -z "$$(git status --porcelain)"
	$(BIN)/python -m tools.record_messages

demo: venv  ## Show a deployment at work (DEPLOYMENT=rendimar for the other).
	$(BIN)/python -m tools.demo $(DEPLOYMENT)

binary: dist/buckthorntack  ## Build the one-file program.

dist/buckthorntack: venv FORCE
	rm -rf build/binary
	mkdir -p build/binary dist
	cp -r buckthorntack build/binary/
	find build/binary \( -name tests -o -name __pycache__ \) -prune \
		-exec rm -r {} +
	$(BIN)/python -m pex -D build/binary -r requirements/run.txt \
		--venv-repository $(VENV) -e buckthorntack.cli:main -o $@

FORCE:

smoke: binary  ## Use the built program as a new operator would.
	$(BIN)/python -m tools.smoke

clean:  ## Remove what the targets made.
	rm -rf build dist .venv
