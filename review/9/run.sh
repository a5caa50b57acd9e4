#!/usr/bin/env bash
# A restarted worker is lost, and then the leader. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chivetiller ] && [ -x target/standin-2 ] || exit 2
exec target/standin-2 restarted review/9/record.txt
