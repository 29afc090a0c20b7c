#!/usr/bin/env bash
# Guards against callers that read very slowly, see
# test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" slow_readers
