#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
exec python3 "$(dirname "$0")/case.py"
