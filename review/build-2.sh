#!/usr/bin/env bash
# Checks that the stand-ins which the scripts of review/4 to review/6 start can run.
# They are Python: the project's own store, and the small ones in review/standin2/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c 'import standins.platform, review.standin2.backend, review.standin2.cluster'
