#!/usr/bin/env bash
# Guards against requests sent ahead by callers that do not read the responses,
# see test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" unread_responses
