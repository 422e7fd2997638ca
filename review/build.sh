#!/bin/sh
# The stand-ins need nothing but the standard library; this checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -c 'import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")'
