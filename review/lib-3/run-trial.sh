#!/bin/sh
# Runs the trial of one case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$1" || exit 2
timeout -k 2 118 node trial.mjs
case $? in
  20) exit 0 ;;
  21) exit 1 ;;
  *) exit 2 ;;
esac
