#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They are plain Python of the standard library, so
# nothing is compiled; this checks that they can be read. The programs come from the build line
# of deploy/system.toml.
cd "$(dirname "$0")" || exit 1
for file in rig.py [4-6]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
