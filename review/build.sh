#!/usr/bin/env bash
# The stand-ins are Python and need no compiler: checks that they and the scripts can be
# loaded with what the deploy file's build has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import review.harness, soak.site, standins.job_worker, standins.metadata_table'
