#!/bin/sh
# Shows the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec python3 review/5/case.py
