python ?= python3

.PHONY: install demo test check bench-path bench-routing
install: .venv/installed

.venv/installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	$(python) -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
	.venv/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
	    $(foreach package,$(wildcard packages/*/pyproject.toml),-e $(dir $(package)))
	touch .venv/installed

demo: install
	demo/demo.sh

test: install
	.venv/bin/python tools/run_tests.py

check: install
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports --no-cache

bench-path: install
	packages/bench/path.sh

bench-routing: install
	.venv/bin/python -m fuchsiahatch_bench.routing_bench
