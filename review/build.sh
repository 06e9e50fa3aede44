#!/bin/sh
# Every stand-in of the cases is Python (3.9 or newer, standard library only); this checks that it compiles.
cd "$(dirname "$0")" && exec python3 -c 'import glob, sys; assert sys.version_info >= (3, 9)
for name in glob.glob("lib/*.py") + glob.glob("*/case.py"): compile(open(name).read(), name, "exec")'
