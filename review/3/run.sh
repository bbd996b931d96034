#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/indigomastd ] && [ -x target/review/review ] || exit 2
exec timeout -k 5 110 target/review/review 3
