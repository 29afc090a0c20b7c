#!/usr/bin/env bash
# Guards against callers that stop within the header of a request, see
# test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" half_way
