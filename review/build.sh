#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python without further
# libraries, so this only compiles them. The router itself is built by the
# `build` line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
