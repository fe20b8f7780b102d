#!/usr/bin/env bash
# Runs the case (see claim.txt) and writes record.txt. TROUBLE=0: without the disruption. 1: the rule was broken, 0: it held,
# 2: the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 119 node case.mjs &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM HUP
wait "$child"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
