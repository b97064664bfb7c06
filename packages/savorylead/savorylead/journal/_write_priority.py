"""How long events may be delayed before they are written."""

from __future__ import annotations

from collections.abc import Sequence

from ._append_queue import WritePriority
from ._events import Accepted, Ended, Event, Forgotten
from ._state import ShardState


def write_priority(events: Sequence[Event], state: ShardState) -> WritePriority:
    """Return how soon events should be written, given the durable ``state``.

    Callers of urgent tasks wait for the acceptance and the end of the task. No further
    action waits for the end of other tasks or for the removal of records.
    """
    return max(
        (_event_priority(event, state) for event in events),
        default=WritePriority.NORMAL,
    )


def _event_priority(event: Event, state: ShardState) -> WritePriority:
    kind = type(event)
    if kind is Accepted:
        return WritePriority.IMMEDIATE if event.spec.urgent else WritePriority.NORMAL
    if kind is Forgotten:
        return WritePriority.DEFERRABLE
    if kind is not Ended:
        return WritePriority.NORMAL
    record = state.records.get(event.task)
    if record is not None and record.spec is not None and record.spec.urgent:
        return WritePriority.IMMEDIATE
    return WritePriority.DEFERRABLE
