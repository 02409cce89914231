#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
