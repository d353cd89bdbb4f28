#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need only the standard library; the processes of the
# project need the build of the deploy file, which has to come first.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
