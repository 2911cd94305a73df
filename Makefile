python ?= python3

.PHONY: install demo demo-keep demo-platform failed-requests test check soak-deployment \
    settings-page bench-config \
    bench-slopes capacity bench-placement bench-experts tune-experts \
    bench-delivery bench-overload bench-path bench-entry bench-routing search-grants

install: .venv/installed

projects = $(wildcard packages/*/pyproject.toml) platform/pyproject.toml

.venv/installed: requirements.txt $(projects)
	$(python) -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -r requirements.txt
	.venv/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
	    $(foreach project,$(projects),-e $(dir $(project)))
	touch .venv/installed

demo: install
	demo/demo.sh

demo-keep: install
	demo/demo.sh --keep

# The path of the users' platform, on stand-ins.
demo-platform: install
	.venv/bin/python -m fuchsiahatch_standins.platform_demo

# Three failed requests, and what the log says of each: docs/OPERATIONS.md.
failed-requests: install
	.venv/bin/python -m fuchsiahatch_standins.failed_requests

test: install
	.venv/bin/python tools/run_tests.py

# A whole deployment under real signals: make soak-deployment args="--seed=7 --minutes=2".
soak-deployment: install
	.venv/bin/python -m tests.deployment.soak $(args)

check: install
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/lint-imports --no-cache
	.venv/bin/python tools/check_docs.py
	.venv/bin/python tools/check_links.py
	.venv/bin/python tools/check_dependencies.py
	.venv/bin/python tools/check_wire_words.py
	.venv/bin/python -m fuchsiahatch_bench.capacity --check

settings-page: install
	.venv/bin/python tools/make_settings_page.py

bench-config: install
	.venv/bin/python -m fuchsiahatch_bench.config_bench

bench-slopes: install
	.venv/bin/python -m fuchsiahatch_bench.slopes

capacity: install
	.venv/bin/python -m fuchsiahatch_bench.capacity

bench-placement: install
	.venv/bin/python -m fuchsiahatch_bench.bench_placement

# Policies are tuned on their own seeds by `make tune-experts`, which takes minutes.
bench-experts: install
	OPENBLAS_NUM_THREADS=1 .venv/bin/python -m fuchsiahatch_bench.experts run

tune-experts: install
	OPENBLAS_NUM_THREADS=1 .venv/bin/python -m fuchsiahatch_bench.experts tune

bench-delivery: install
	.venv/bin/python -m fuchsiahatch_bench.delivery_bench

bench-path: install
	packages/bench/path.sh

bench-overload: install
	.venv/bin/python -m fuchsiahatch_bench.overload

bench-entry: install
	.venv/bin/python -m fuchsiahatch_bench.entry_profile

bench-routing: install
	.venv/bin/python -m fuchsiahatch_bench.routing_bench

# Some ten minutes.
search-grants: install
	.venv/bin/python -m fuchsiahatch_bench.search_grants
