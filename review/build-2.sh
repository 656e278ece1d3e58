#!/bin/sh
# Builds the stand-ins of the second review: all are Python, so they are only compiled, with the Python of the
# deploy file's build. Needs no network.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/.." || exit 2
for each in review/second review/[6-9] review/10; do
    test -d "$each" || continue
    .venv/bin/python -m compileall -q "$each" || exit 1
done
