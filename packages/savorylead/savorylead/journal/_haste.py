"""How long events may be delayed before they are written."""

from __future__ import annotations

from collections.abc import Sequence

from ._append_queue import Haste
from ._events import Accepted, Ended, Event, Forgotten
from ._state import ShardState


def haste_of(events: Sequence[Event], state: ShardState) -> Haste:
    """Return how soon events should be written, given the durable ``state``.

    Callers of urgent tasks wait for the acceptance and the end of the task. No further
    action waits for the end of other tasks or for the removal of records.
    """
    return max((_haste(event, state) for event in events), default=Haste.SOON)


def _haste(event: Event, state: ShardState) -> Haste:
    kind = type(event)
    if kind is Accepted:
        return Haste.AT_ONCE if event.spec.urgent else Haste.SOON
    if kind is Forgotten:
        return Haste.AT_LEISURE
    if kind is not Ended:
        return Haste.SOON
    record = state.records.get(event.task)
    if record is not None and record.spec is not None and record.spec.urgent:
        return Haste.AT_ONCE
    return Haste.AT_LEISURE
