#!/usr/bin/env bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="target/deps:."
# Without the disruption if it is 0.
export TROUBLE="${TROUBLE:-1}"
python3 -c "import review.deployment" || exit 2
exec python3 "$folder/play.py"
