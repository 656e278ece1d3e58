#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without disruption.
cd "$(dirname "$0")/../.." && exec .venv/bin/python -B review/3/case.py
