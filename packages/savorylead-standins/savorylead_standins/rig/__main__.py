"""The rig: ``python -m savorylead_standins.rig --config examples/NAME.json``."""

from __future__ import annotations

from ._command import run_from_command_line
from ._rig_run import RUN_LIMIT_S, RigRun


def main() -> None:
    """Run every step; ends non-zero if an invariant was breached."""
    run_from_command_line("python -m savorylead_standins.rig", RigRun, RUN_LIMIT_S)


if __name__ == "__main__":
    main()
