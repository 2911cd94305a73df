#!/usr/bin/env bash
# Puts the libraries and the packages that the deployed roles need under target/deps.
set -eu
cd "$(dirname "$0")/.."
deps=target/deps
if ! [ "$deps/.installed" -nt deploy/requirements.txt ]; then
    python3 -m pip install -q --disable-pip-version-check --no-deps -U \
        --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
for package in core http1 routing delivery experts gateway; do
    cp -r "packages/$package/src/." "$deps"
done
cp -r platform/src/. "$deps"
# Compiled here, since the hosts have no disk: each start would compile them anew.
python3 -m compileall -q "$deps"
