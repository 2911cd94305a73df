#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. They need the standard library alone, and
# nothing of the project's own stand-ins: they are compiled, and nothing is fetched.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/kit_2.py review/[4-8]/*.py
