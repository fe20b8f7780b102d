#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption. 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 119 node case.mjs
