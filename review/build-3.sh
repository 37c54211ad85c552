#!/bin/sh
# Prepares the stand-ins of the scripts review/N/run.sh, after the build of the deploy
# file. They are modules of this project without a step of their own, so that it only
# checks that each can be loaded with the libraries in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" python3 -B -c '
import coltsfoottray.cli.run
import lasting_jobs
import soak.site
import standins.job_worker
import standins.metadata_table
'
