"""Runs every bench program in turn."""

from __future__ import annotations

import pkgutil
import subprocess
import sys

import bench

#: Takes minutes and writes a page; it has a command of its own.
APART = frozenset({"capacity"})


def main() -> None:
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_") and module.name not in APART:
            # Each has a process of its own, since a reactor runs only once.
            program = [sys.executable, "-m", f"bench.{module.name}"]
            subprocess.run(program, check=True)


if __name__ == "__main__":
    main()
