#!/usr/bin/env bash
# Guards against bodies that are far larger than allowed, see
# test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" oversized
