#!/bin/sh
# Builds the project's stand-ins that the scripts start. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
npx tsc -b packages/stand-ins
