#!/usr/bin/env bash
# Runs the case beside this file. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 runs it without the disruption.
exec node "$(cd "$(dirname "$0")" && pwd)/case.mjs"
