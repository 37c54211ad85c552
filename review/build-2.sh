#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the second review start, and checks that
# they can be imported with what the deploy file's build has installed.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q coltsfoottray soak standins review
python3 -c "import review.deployment"
