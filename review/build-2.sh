#!/bin/sh
# The stand-ins of these cases are plain JavaScript on Node's own modules: nothing has to be compiled. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
