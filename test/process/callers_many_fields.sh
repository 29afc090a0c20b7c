#!/usr/bin/env bash
# Guards against requests of legal size that consist of many short fields, see
# test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" many_fields
