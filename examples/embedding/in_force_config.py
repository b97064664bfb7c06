"""The in-force configuration on its own: a change reaches a process that follows it."""

import json
import random
from datetime import timedelta
from pathlib import Path

from twisted.internet import task
from twisted.internet.defer import Deferred

from savorylead.clock import Clock, TwistedClock
from savorylead.config import ConfigEditor, InForceConfig
from savorylead_standins.store import MemoryStore

CELL = json.loads((Path(__file__).parents[1] / "skyltverket.json").read_text())["cell"]


async def change_preset(service: MemoryStore, clock: Clock) -> list[str]:
    seen: list[str] = []
    follower = InForceConfig(service.client("follower"), clock, random.Random(1))
    follower.add_listener(lambda current: seen.append(current.document["preset"]))
    follower.start()
    editor = ConfigEditor(
        service.client("editor"), clock, random.Random(2), lambda revision: None
    )
    first = await editor.apply(CELL, expected_revision=0)
    await clock.sleep(timedelta(seconds=1))
    await editor.apply({**CELL, "preset": "peak"}, first.revision, by="operator")
    conflict = await editor.apply(CELL, first.revision, by="someone else")
    await clock.sleep(timedelta(seconds=1))
    fresh = follower.is_fresh()
    follower.stop()
    return [*seen, f"fresh: {fresh}", f"changed since: {conflict.since[-1]['paths']}"]


def main(reactor: object) -> Deferred[None]:
    clock = TwistedClock.starting_now(reactor)
    service = MemoryStore(clock, random.Random(3))
    return Deferred.fromCoroutine(change_preset(service, clock)).addCallback(print)


if __name__ == "__main__":
    task.react(main)
