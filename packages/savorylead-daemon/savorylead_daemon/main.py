"""Entry point of savoryleadd."""

from __future__ import annotations


def main() -> None:
    """Run the daemon."""
    raise SystemExit("not wired yet")
