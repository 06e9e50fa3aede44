#!/bin/sh
# Every stand-in of cases 6 to 10 is Python (3.11 or newer, standard library only); this checks that it compiles.
cd "$(dirname "$0")" && exec python3 -c 'import glob, sys; assert sys.version_info >= (3, 11)
for name in glob.glob("lib-2/*.py") + [name for n in range(6, 11) for name in glob.glob("%d/*.py" % n)]:
    compile(open(name).read(), name, "exec")'
