#!/usr/bin/env bash
# Freezes the instance that holds the tokens of a customer; see claim.txt. Writes
# record.txt. TROUBLE=0 leaves the freeze out.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run_driver.sh" frozen_holder "$(dirname "$0")"
