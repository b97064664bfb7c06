"""The demo: ``python -m savorylead_standins.demo --config examples/NAME.json``."""

from __future__ import annotations

from savorylead_standins.rig import run_from_command_line

from ._run import RUN_LIMIT_S, DemoRun


def main() -> None:
    """Run the day; ends non-zero if work was lost, run twice or overcommitted."""
    run_from_command_line("python -m savorylead_standins.demo", DemoRun, RUN_LIMIT_S)


if __name__ == "__main__":
    main()
