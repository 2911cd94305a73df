#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain Python and use only the
# standard library, so that compiling them shows all that could be wrong with them.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
