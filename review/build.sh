#!/usr/bin/env bash
# Compiles the stand-ins, which need nothing but the standard library of Python 3.11.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin 1 2 3
