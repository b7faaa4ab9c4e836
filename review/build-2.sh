#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start: the project's own programs, with the command of the deploy file.
# The stand-ins of these cases are in review/lib-2/ and need no build: Python 3 with its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
sh -c "$build"
python3 -m py_compile review/lib-2/standins.py review/[0-9]*/case.py
rm -rf review/lib-2/__pycache__ review/[0-9]*/__pycache__
