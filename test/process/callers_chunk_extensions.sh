#!/usr/bin/env bash
# Guards against chunk extensions, which are read ahead whole, that do not end,
# see test/callers/hostile_callers.cpp.
set -euo pipefail
bash "$(dirname "$0")/../callers/run_crowd.sh" chunk_extensions
