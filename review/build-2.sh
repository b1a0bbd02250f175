#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the backend. Their stand-ins are Python programs of this folder,
# which need no build: this checks that the interpreter reads them.
cd "$(dirname "$0")" || exit 2
for file in stand-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
