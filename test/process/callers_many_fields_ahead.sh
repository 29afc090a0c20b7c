#!/usr/bin/env bash
# Guards against requests of many short fields that are sent ahead on a
# connection, see test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" many_fields_ahead
