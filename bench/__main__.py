"""Runs every bench program in turn."""

from __future__ import annotations

import importlib
import pkgutil

import bench


def main() -> None:
    for module in pkgutil.iter_modules(bench.__path__):
        if not module.name.startswith("_"):
            importlib.import_module(f"bench.{module.name}").main()


if __name__ == "__main__":
    main()
