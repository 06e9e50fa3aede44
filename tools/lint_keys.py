"""Prints FILE KEY for each source file of the build: KEY changes with the file, its headers in src/ and .clang-tidy."""

import hashlib
import json
import os
import subprocess
import sys

build = sys.argv[1]
root = os.getcwd()
digests = {}


def digest(path):
    if path not in digests:
        with open(path, "rb") as file:
            digests[path] = hashlib.sha256(file.read()).hexdigest()
    return digests[path]


# The first dependency of an object is its source file.
dependencies, source = {}, None
for line in subprocess.run(["ninja", "-C", build, "-t", "deps"], capture_output=True, text=True).stdout.splitlines():
    if line.startswith("    "):
        path = os.path.normpath(os.path.join(build, line.strip()))
        if source is None:
            source = path
            dependencies.setdefault(source, set())
        if path.startswith(os.path.join(root, "src")):
            dependencies[source].add(path)
    else:
        source = None
config = digest(".clang-tidy")
with open(os.path.join(build, "compile_commands.json")) as file:
    commands = json.load(file)
for path in sorted({command["file"] for command in commands}):
    text = config + "".join(digest(item) for item in sorted(dependencies.get(path, set())) if os.path.exists(item))
    print(os.path.relpath(path, root), hashlib.sha256((text + digest(path)).encode()).hexdigest()[:32])
