#!/bin/sh
# Checks the stand-ins of cases 4 to 8, which are Python programs of the standard library and need no build of their own.
set -e
cd "$(dirname "$0")"
for file in standin-2/*.py [4-8]/case.py; do
    if [ -f "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
echo "the stand-ins are ready"
