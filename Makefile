VENV ?= .venv
PY = $(VENV)/bin/python
PACKAGES = core daemon cli testing

.PHONY: venv format lint test demo bench-proxy

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/shallotyard-$(p))
	touch $@

format: venv
	$(VENV)/bin/ruff check --fix packages
	$(VENV)/bin/ruff format packages

lint: venv
	$(VENV)/bin/ruff format --check packages
	$(VENV)/bin/ruff check packages

test: lint
	$(PY) -m pytest

demo: venv
	$(PY) -m shallotyard_testing.demo

bench-proxy: venv
	$(PY) -m shallotyard_testing.bench $(BENCH_FLAGS)
