#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../run-case.sh" 3
