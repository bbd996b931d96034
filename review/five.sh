#!/bin/sh
# Runs a case five times with the disruption and once without: review/five.sh N
for i in 1 2 3 4 5; do sh "$(dirname "$0")/$1/run.sh" > /dev/null 2>&1; printf '%s ' $?; done
TROUBLE=0 sh "$(dirname "$0")/$1/run.sh" > /dev/null 2>&1; echo "without: $?"
