"""How long events may wait to be written."""

from __future__ import annotations

from collections.abc import Sequence

from ._append_queue import Haste
from ._events import Accepted, Ended, Event, Forgotten
from ._state import ShardState


def haste_of(events: Sequence[Event], state: ShardState) -> Haste:
    """Return how soon events should be written, given the durable ``state``.

    A caller of urgent work waits for its acceptance and for its end. Other ends and
    removals have nobody who starts something on them.
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
