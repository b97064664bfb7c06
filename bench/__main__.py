"""Runs every bench program in turn."""

from __future__ import annotations

import pkgutil
import subprocess
import sys

import bench

#: The one takes minutes and writes a page, the other reads logs that it is given.
APART = frozenset({"capacity", "waits"})


def main() -> None:
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_") and module.name not in APART:
            # Each has a process of its own, since a reactor runs only once.
            program = [sys.executable, "-m", f"bench.{module.name}"]
            subprocess.run(program, check=True)


if __name__ == "__main__":
    main()
