#!/bin/sh
# Checks that the stand-ins of review 3 (Python, nothing to compile) load with what the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
PYTHONPATH=target/deps:review/lib-3 PYTHONDONTWRITEBYTECODE=1 python3 -c '
import pathlib, fleet
for path in sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("stand-ins load for", path.parent.name)
'
