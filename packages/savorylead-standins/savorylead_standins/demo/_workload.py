"""A short day's work of an example, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, NamedTuple

from savorylead_standins.rig import TaskDrafts, WorkPlace

#: Seconds over which work arrives.
DAY_S = 24.0
#: Shape of the heavy tail of run times and sizes.
TAIL_SHAPE = 1.3


class Arrival(NamedTuple):
    """One call that submits some tasks."""

    at_s: float
    team: str
    tasks: tuple[dict[str, Any], ...]


class Day:
    """Draws every arrival of a day.

    Urgent requests that may not be repeated come all day, batch work with heavy
    tails comes in the first half, services and accelerated work early, and one
    all-at-once job in the middle.
    """

    def __init__(self, places: Mapping[str, WorkPlace], rng: random.Random) -> None:
        self._places = places
        self._rng = rng
        self._drafts = TaskDrafts()

    def arrivals(self) -> list[Arrival]:
        """Return the day's arrivals, in order of time."""
        arrivals = [
            *self._urgent(every_s=0.1, tasks_per_call=2),
            *self._batch(calls=12, tasks_per_call=15),
            *self._services(count=6),
            *self._accelerated(calls=10, tasks_per_call=2),
            self._all_at_once(members=6),
        ]
        return sorted(arrivals, key=lambda arrival: arrival.at_s)

    def _urgent(self, every_s: float, tasks_per_call: int) -> list[Arrival]:
        return [
            self._arrival(
                "urgent",
                number * every_s,
                [
                    {
                        "kind": "batch",
                        "repeatable": False,
                        "urgent": True,
                        "run_s": 0.05 + 0.3 * self._rng.random(),
                        "resources": {"cores": 1, "memory_mb": 512},
                    }
                    for _ in range(tasks_per_call)
                ],
            )
            for number in range(round(DAY_S / every_s))
        ]

    def _batch(self, calls: int, tasks_per_call: int) -> list[Arrival]:
        return [
            self._arrival(
                "batch",
                number * DAY_S / 2 / calls,
                [self._heavy_tailed() for _ in range(tasks_per_call)],
            )
            for number in range(calls)
        ]

    def _heavy_tailed(self) -> dict[str, Any]:
        run_s = min(6.0, 0.3 * self._rng.paretovariate(TAIL_SHAPE))
        cores = min(8, round(self._rng.paretovariate(TAIL_SHAPE)))
        return {
            "kind": "batch",
            "run_s": run_s,
            "resources": {"cores": cores, "memory_mb": 1024 * cores},
        }

    def _services(self, count: int) -> list[Arrival]:
        service = {
            "kind": "service",
            "run_s": None,
            "resources": {"cores": 2, "memory_mb": 4096, "connections": 4},
        }
        return [self._arrival("services", 1.0, [dict(service) for _ in range(count)])]

    def _accelerated(self, calls: int, tasks_per_call: int) -> list[Arrival]:
        return [
            self._arrival(
                "accelerated",
                2.0 + number,
                [
                    {
                        "kind": "batch",
                        "run_s": 1.0 + self._rng.random(),
                        "resources": {
                            "cores": 2,
                            "memory_mb": 8192,
                            "accelerators": 1,
                        },
                    }
                    for _ in range(tasks_per_call)
                ],
            )
            for number in range(calls)
        ]

    def _all_at_once(self, members: int) -> Arrival:
        job = {
            "kind": "all_at_once",
            "members": members,
            "run_s": 1.0,
            "resources": {"cores": 4, "memory_mb": 4096},
        }
        return self._arrival("batch", DAY_S / 2, [job])

    def _arrival(
        self, place_name: str, at_s: float, drafts: list[dict[str, Any]]
    ) -> Arrival:
        place = self._places[place_name]
        tasks = tuple(self._drafts.task(place, place_name, d) for d in drafts)
        return Arrival(at_s, place.team, tasks)
