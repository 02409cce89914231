#!/bin/sh
# Builds the stand-ins of the cases: Python of the standard library alone, so compiling them is all there is to do.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
