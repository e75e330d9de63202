#!/bin/sh
# Puts the libraries and our packages that a gateway imports under target/deps.
set -eu
deps=target/deps
if [ ! -f target/.libraries ] || [ deploy/requirements.txt -nt target/.libraries ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" -r deploy/requirements.txt
    touch target/.libraries
fi
for package in \
    packages/quinceferry-core/src/quinceferry_core \
    packages/quinceferry-gateway/src/quinceferry_gateway \
    platform/quinceferry_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -r "$package" "$deps/"
done
# Machines can't write next to the sources; compiled files spare each start the compilation.
python3 -m compileall -q "$deps"
