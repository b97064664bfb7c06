"""Each change of a daemon's readiness is seen once."""

from __future__ import annotations

from savorylead_daemon.observability import Readiness


# A daemon that did not get ready left no line that told what it waited for.
def test_changes_are_observed_with_their_reasons() -> None:
    seen: list[tuple[str, ...]] = []
    readiness = Readiness(seen.append)
    readiness.block("store_silent")
    readiness.block("store_silent")
    readiness.clear(Readiness.STARTING)
    readiness.clear("store_silent")
    readiness.clear("store_silent")
    assert seen == [("starting", "store_silent"), ("store_silent",), ()]
    assert readiness.is_ready()
