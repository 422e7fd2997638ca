VENV ?= .venv
PY = $(VENV)/bin/python
PACKAGES = core direct daemon cli testing

.PHONY: venv format lint test demo bench-proxy bench-policy bench-hostile capacity

# An environment named on the command line is used as it is.
ifeq ($(VENV),.venv)
venv: $(VENV)/.installed
else
venv:
endif

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.txt
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/shallotyard-$(p))
	touch $@

format: venv
	$(VENV)/bin/ruff check --fix packages platform
	$(VENV)/bin/ruff format packages platform

lint: venv
	$(VENV)/bin/ruff format --check packages platform
	$(VENV)/bin/ruff check packages platform
	$(PY) -m shallotyard_testing.binary_files

test: lint
	$(PY) -m pytest

# With an environment of another tree, the code of this one must be run.
demo: export PYTHONPATH = $(subst @,$(CURDIR)/packages/shallotyard-,@core/src:@direct/src:@daemon/src:@cli/src:@testing/src)
demo: venv
	$(PY) -m shallotyard_testing.demo

bench-proxy: venv
	$(PY) -m shallotyard_testing.bench $(BENCH_FLAGS)

bench-policy: venv
	$(PY) -m shallotyard_testing.bench_policy $(BENCH_FLAGS)

bench-hostile: venv
	PYTHONPATH=platform/tests $(PY) platform/tests/hostile_bench.py $(BENCH_FLAGS)

capacity: venv
	$(PY) -m shallotyard_testing.capacity $(BENCH_FLAGS)
