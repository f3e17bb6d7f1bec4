#!/bin/sh
# Builds the stand-ins that the cases start. They are Python files that need the standard library only, so that this checks
# that an interpreter is there and can read them. The project's own program comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in glob.glob("standin/*.py") + glob.glob("[0-9]/*.py"):
    ast.parse(open(name, encoding="utf-8").read(), name)
PY
