#!/bin/sh
# Builds what the scripts of review/6 to review/10 start: their stand-ins are Python
# modules of the standard library alone, which are only checked here. The gateways are
# built by the line `build` of deploy/system.toml, which runs before this.
set -e
cd "$(dirname "$0")"
for folder in 6 7 8 9 10; do
    [ -d "$folder" ] || continue
    python3 - "$folder" <<'PYTHON'
import pathlib
import sys

for path in sorted(pathlib.Path(sys.argv[1]).glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
done
test -d ../target/deps
