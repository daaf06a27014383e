#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$FOLDER"' EXIT
timeout -k 5 115 build/review-2/case-10 target/bin/briarpoint-forwarder review/10/record.txt "$FOLDER"
STATUS=$?
[ "$STATUS" -le 1 ] || STATUS=2
exit "$STATUS"
