#!/bin/sh
# Builds the project's stand-ins, which the trials of review/9 to review/13 start; run it after the build of the deploy file.
cd "$(dirname "$0")/.." && exec npx tsc -b packages/stand-ins
