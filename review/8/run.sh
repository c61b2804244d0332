#!/usr/bin/env bash
# See claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec python3 -B review/8/case.py
