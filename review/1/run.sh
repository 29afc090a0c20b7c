#!/usr/bin/env bash
# Stops an instance while callers pipeline requests; see claim.txt. Writes
# record.txt. TROUBLE=0 leaves the stop out.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run_driver.sh" stop_pipelined "$(dirname "$0")"
