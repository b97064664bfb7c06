"""Runs savoryleadd as a child: ``python -m savorylead_standins.rig.run_daemon``.

The process is killed by the kernel as soon as its parent has gone, also while it
is stopped by a signal, so that no daemon outlives a run that was itself killed.
With ``--profile FILE`` the run's profile is written when the daemon ends.
"""

from __future__ import annotations

import argparse
import cProfile
import ctypes
import os
import signal
from pathlib import Path

from savorylead_daemon.main import main as run_savoryleadd

#: Option of prctl(2) that names the signal sent when the parent ends.
PR_SET_PDEATHSIG = 1


def die_with_parent(parent: int) -> None:
    """Ask the kernel for SIGKILL once ``parent`` has gone."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        # The parent ended before the kernel was asked.
        os.kill(os.getpid(), signal.SIGKILL)


def main() -> None:
    """Run the daemon until it is stopped; leaves through SystemExit."""
    parser = argparse.ArgumentParser(prog="run_daemon")
    parser.add_argument("--parent", type=int, required=True)
    parser.add_argument("--profile", type=Path)
    arguments, rest = parser.parse_known_args()
    die_with_parent(arguments.parent)
    if arguments.profile is None:
        run_savoryleadd(rest)
    profile = cProfile.Profile()
    try:
        profile.runcall(run_savoryleadd, rest)
    finally:
        profile.dump_stats(arguments.profile)


if __name__ == "__main__":
    main()
