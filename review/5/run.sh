#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../run-case.sh" 5
