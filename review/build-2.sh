#!/bin/sh
# Builds the stand-ins of the second review: Python of the standard library, so they are only
# compiled. The daemons are those of the deploy file's build, under target/deps.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/wheatslipd
python3 -m compileall -q review/second review/4 review/5 review/6
