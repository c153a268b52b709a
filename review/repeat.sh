#!/usr/bin/env bash
# Runs a case five times with the disruption and once without: review/repeat.sh N [TIMES]
# Prints for each run its exit status and the summary that stands last in record.txt.
cd "$(dirname "$0")/.." || exit 2
for ((run = 1; run <= ${2:-5}; run += 1)); do
  bash "review/$1/run.sh" > /dev/null
  echo "case $1, run $run: exit status $? $(tail -n 1 "review/$1/record.txt")"
done
TROUBLE=0 bash "review/$1/run.sh" > /dev/null
echo "case $1, TROUBLE=0: exit status $? $(tail -n 1 "review/$1/record.txt")"
