#!/bin/sh
# Installs the libraries and project packages imported by a gateway into target/deps.
set -eu
deps=target/deps
if [ ! -f target/.libraries ] || [ deploy/requirements.txt -nt target/.libraries ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" -r deploy/requirements.txt
    touch target/.libraries
fi
for package in \
    packages/quinceferry-core/src/quinceferry_core \
    packages/quinceferry-http/src/quinceferry_http \
    packages/quinceferry-gateway/src/quinceferry_gateway \
    platform/quinceferry_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -r "$package" "$deps/"
done
# Source directories are not writable on the vms, so bytecode is compiled here rather than at every start.
python3 -m compileall -q "$deps"
