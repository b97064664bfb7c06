"""A cell of processes whose daemons can't serve is given up, and says why."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from twisted.internet import reactor

from savorylead_standins.loopback import run_on_reactor
from savorylead_standins.rig import CellProcesses, ChildError, RealCell

EXAMPLE = Path(__file__).resolve().parents[5] / "examples" / "monteverde.json"
RUN_LIMIT_S = 50.0
#: Longest time in which a cell is given up whose daemons have ended.
GIVEN_UP = timedelta(seconds=15)


# The demo and the rig called daemons that had ended for 30 s, and then told of refused
# connections only.
def test_a_cell_whose_daemons_end_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    settings_of = CellProcesses._settings

    def wrong_settings(*arguments: Any) -> dict[str, Any]:
        return {**settings_of(*arguments), "colour": "red"}

    monkeypatch.setattr(CellProcesses, "_settings", wrong_settings)

    async def start() -> None:
        cell = RealCell(reactor, EXAMPLE, 1, RUN_LIMIT_S)
        began = cell.clock.now()
        try:
            with pytest.raises(ChildError, match="ended with 2: .*colour"):
                await cell.start(2)
            assert cell.clock.now() - began < GIVEN_UP
        finally:
            await cell.close()

    run_on_reactor(start)
