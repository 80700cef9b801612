VENV := .venv
PYTHON := $(VENV)/bin/python

.PHONY: test bench demo generate format lint check clean

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable . || \
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

test: $(VENV)/.installed
	$(PYTHON) -m pytest -q -rx

bench: $(VENV)/.installed
	$(PYTHON) -m bench.relay

demo: $(VENV)/.installed
	$(PYTHON) -m galenascale demo

generate: $(VENV)/.installed
	$(PYTHON) tools/generate.py

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) tools/generate.py --check
