"""Steps in the life of a task and of the cell, recognized from observations."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

import msgspec

from savorylead.config import CONFIG_KEY
from savorylead.workers import Inventory, RunReport, RunState, StartAccepted
from savorylead_standins.store import StoreCall

from ._faulty_cell import (
    CallerObservation,
    Location,
    Observation,
    RequestObservation,
    ResultObservation,
)

LOG_PREFIX = "journal/log/"
SNAPSHOTS_PREFIX = "journal/snapshots/"
LIMITS_PREFIX = "limits/"
#: Position of the events in a log entry.
ENTRY_EVENTS = 5
#: Position of the origin in an accepted event.
ACCEPTED_ORIGIN = 2

#: Returns whether a journal event with this tag and these fields marks the step.
EventTest = Callable[[str, Any], bool]


class Step(ABC):
    """An event that occurs in every run and at which a fault can begin."""

    def __init__(self, name: str) -> None:
        self.name = name

    @abstractmethod
    def location(self, observation: Observation) -> Location | None:
        """Return where the step is reached, or None if this is another event."""


class CallerStep(Step):
    """An event of a caller or an operator."""

    def location(self, observation: Observation) -> Location | None:
        """Return the daemon that serves the caller."""
        if (
            isinstance(observation, CallerObservation)
            and observation.event == self.name
        ):
            return Location(observation.daemon)
        return None


class JournalStep(Step):
    """A journal entry with a certain event is sent to the store."""

    def __init__(self, name: str, is_event: EventTest) -> None:
        super().__init__(name)
        self._is_event = is_event

    def location(self, observation: Observation) -> Location | None:
        """Return the lead that writes the entry."""
        if not isinstance(observation, StoreCall) or observation.value is None:
            return None
        if not observation.target.startswith(LOG_PREFIX):
            return None
        for tag, fields in msgspec.json.decode(observation.value)[ENTRY_EVENTS]:
            if self._is_event(tag, fields):
                return Location(observation.client)
        return None


class StoreStep(Step):
    """A call for a key with a given prefix is sent to the store."""

    def __init__(
        self, name: str, method: str, prefix: str, content: bytes = b""
    ) -> None:
        super().__init__(name)
        self._method = method
        self._prefix = prefix
        self._content = content

    def location(self, observation: Observation) -> Location | None:
        """Return the daemon that makes the call."""
        if not isinstance(observation, StoreCall) or observation.method != self._method:
            return None
        if not observation.target.startswith(self._prefix):
            return None
        return (
            Location(observation.client)
            if self._content in (observation.value or b"")
            else None
        )


class CommandStep(Step):
    """A command is sent to a worker."""

    def __init__(self, name: str, method: str) -> None:
        super().__init__(name)
        self._method = method

    def location(self, observation: Observation) -> Location | None:
        """Return the lead and the worker."""
        if (
            not isinstance(observation, RequestObservation)
            or observation.call.method != self._method
        ):
            return None
        return Location(observation.call.source, observation.call.target)


class ResultStep(Step):
    """A worker has executed a command but not yet replied."""

    def __init__(self, name: str, is_result: Callable[[str, Any], bool]) -> None:
        super().__init__(name)
        self._is_result = is_result

    def location(self, observation: Observation) -> Location | None:
        """Return the lead and the worker."""
        if not isinstance(observation, ResultObservation):
            return None
        if not self._is_result(observation.call.method, observation.result):
            return None
        return Location(observation.call.source, observation.call.target)


def _is_started(method: str, result: Any) -> bool:
    return method == "start" and _any_of(result, StartAccepted)


def _is_renewed(method: str, result: Any) -> bool:
    return method == "renew" and isinstance(result, Inventory) and bool(result.runs)


def _is_checkpointed(method: str, result: Any) -> bool:
    return method == "checkpoint" and _any_of(result, RunReport)


def _is_finished(method: str, result: Any) -> bool:
    if method != "renew" or not isinstance(result, Inventory):
        return False
    return any(report.state is RunState.DONE for report in result.runs)


def _any_of(result: Any, kind: type) -> bool:
    return isinstance(result, list) and any(isinstance(item, kind) for item in result)


#: Every step, in the order of the table.
STEPS: tuple[Step, ...] = (
    CallerStep("submit received"),
    JournalStep("accept journaled", lambda tag, _: tag == "accepted"),
    JournalStep("overflow offered", lambda tag, _: tag == "offered"),
    JournalStep(
        "overflow accepted",
        lambda tag, fields: tag == "accepted" and bool(fields[ACCEPTED_ORIGIN]),
    ),
    StoreStep("limit grant", "swap", LIMITS_PREFIX),
    JournalStep("placement journaled", lambda tag, _: tag == "placed"),
    CommandStep("start sent", "start"),
    ResultStep("started", _is_started),
    ResultStep("renewed", _is_renewed),
    ResultStep("checkpointed", _is_checkpointed),
    ResultStep("finished", _is_finished),
    CallerStep("answer delivered"),
    StoreStep("key withdrawn", "swap", CONFIG_KEY, b"keys.spare.withdrawn"),
    StoreStep("configuration applied", "swap", CONFIG_KEY),
    StoreStep("preset changed", "swap", CONFIG_KEY, b"$.preset"),
    StoreStep("snapshot written", "swap", SNAPSHOTS_PREFIX),
    StoreStep("takeover replaying", "list", LOG_PREFIX),
    JournalStep("resign", lambda tag, _: tag == "resigned"),
    CallerStep("shutdown"),
)
