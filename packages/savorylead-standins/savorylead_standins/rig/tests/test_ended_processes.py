"""The end of a process is seen by a reactor that runs in a thread."""

from __future__ import annotations

import sys
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import DeferredList
from twisted.internet.task import deferLater

from savorylead_standins.loopback import run_on_reactor
from savorylead_standins.rig import Child

#: Takes long enough to free its memory that its pipes close well before its end.
PROGRAM = "held = bytearray(60_000_000)\nimport time\ntime.sleep(60)"


def test_the_end_of_a_killed_process_is_seen(tmp_path: Path) -> None:
    # One look when the pipes closed missed a quarter of the ends on a busy machine, and
    # a test that waits for its daemons then hung.
    async def kill_all() -> list[int | None]:
        children = []
        for number in range(12):
            child = Child(f"child-{number}", tmp_path / f"{number}.errors")
            command = [sys.executable, "-c", PROGRAM]
            reactor.spawnProcess(child, sys.executable, command, env=None)
            children.append(child)
        await deferLater(reactor, 1.0)
        for child in children:
            child.signal("KILL")
        ended = DeferredList([child.ended for child in children])
        ended.addTimeout(10.0, reactor)
        await ended
        return [child.exit_code for child in children]

    assert run_on_reactor(kill_all) == [-9] * 12
