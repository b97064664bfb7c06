"""Entry point of savoryctl."""

from __future__ import annotations


def main() -> None:
    """Run the command line."""
    raise SystemExit("not wired yet")
