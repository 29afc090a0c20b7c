#!/usr/bin/env bash
# Guards against bodies of legal size, sent at once, that stop just short of
# their end, see test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" whole_bodies
