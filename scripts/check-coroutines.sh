#!/usr/bin/env bash
# Finds code in coroutines that GCC 12 miscompiles: co_await in a conditional expression, and a conditional expression
# or braced temporaries among the arguments of an awaited call. Prints each place and fails when there is one.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib
import re
import subprocess
import sys

files = subprocess.run(["git", "ls-files", "--cached", "--others", "--exclude-standard", "src", "tests"],
                       capture_output=True, text=True, check=True).stdout.split()
faults = []
for name in files:
    if not name.endswith((".cpp", ".h")) or name.startswith("src/generated/"):
        continue
    text = re.sub(r"//[^\n]*", "", pathlib.Path(name).read_text())
    text = re.sub(r'"(\\.|[^"\\])*"', '""', text)
    for match in re.finditer(r"co_await\b[^;]*;", text):
        before = text[max(0, match.start() - 200):match.start()]
        statement = re.split(r"[;{}]", before)[-1] + match.group(0)
        spawns = re.search(r"\[[^\]]*\]\s*(mutable\s*)?(\(|\{)", statement)
        conditional = re.search(r"[^?]\?[^?:]*[^:]:[^:]", statement)
        braced = re.search(r"[(,]\s*\{\s*[^}\s]", match.group(0))
        if not spawns and (conditional or braced):
            line = text.count("\n", 0, match.start()) + 1
            faults.append(f"{name}:{line}: {' '.join(match.group(0).split())[:100]}")
print("\n".join(faults))
sys.exit(1 if faults else 0)
PY
