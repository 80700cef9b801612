VENV := .venv
PYTHON := $(VENV)/bin/python
# A linked environment belongs to another checkout and is used as it is.
INSTALLED := $(if $(shell test -L $(VENV) && echo linked),,$(VENV)/.installed)

# Memory file system, as hosts are diskless; SHIV_ROOT overrides it at run time.
UNPACK_ROOT := /dev/shm/galenascale

.PHONY: test bench slopes demo binary generate format lint check clean

$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable . || \
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

test: $(INSTALLED)
	$(PYTHON) -m pytest -q -rx

bench: $(INSTALLED)
	$(PYTHON) -m bench.relay
	$(PYTHON) -m bench.loopback
	$(PYTHON) -m bench.policy

slopes: $(INSTALLED)
	$(PYTHON) -m bench.slopes

# build/ is removed, because setuptools adds old files in it to the package.
binary: $(INSTALLED)
	rm -rf build dist
	mkdir dist
	$(VENV)/bin/shiv --console-script galenascale --reproducible --compressed \
		--root $(UNPACK_ROOT) --output-file dist/galenascale --quiet \
		--no-deps --no-build-isolation --requirement requirements-runtime.txt .

demo: $(INSTALLED)
	$(PYTHON) -m galenascale demo

generate: $(INSTALLED)
	$(PYTHON) tools/generate.py
	$(PYTHON) tools/generate_docs.py

format: $(INSTALLED)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(INSTALLED)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(PYTHON) tools/generate.py --check
	$(PYTHON) tools/generate_docs.py --check
