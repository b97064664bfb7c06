"""A daemon that the store turns away has jobs stored by its peers."""

from __future__ import annotations

import pytest

from savorylead.jobs import JobState
from savorylead_daemon.pool import CallerAnswer
from savorylead_standins.pools import job_spec

from .cell_cases import ready_cell

#: Time in which the answer reaches a caller that a second daemon could still serve.
ANSWERED_WITHIN_S = 1.4


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("silent", [0, 1, 2])
def test_a_job_is_stored_although_some_peers_do_not_answer(
    silent: int, seed: int
) -> None:
    # Guards against waiting for one silent peer after the other: links do not repeat
    # the request, so the next peer is asked once an answer is overdue.
    cell = ready_cell(nodes=5, seed=seed)
    gateway = next(name for name in cell.nodes if name != cell.lead_of())
    cell.views[gateway].is_refused = True
    cell.run(2.0)
    others = [n for n in cell.nodes if n not in (gateway, cell.lead_of())]
    cell.mute.update(others[:silent])
    cell.submit("one", job_spec(), gateway)
    cell.run(ANSWERED_WITHIN_S)
    answer = cell.answer("one")
    assert answer is not None and answer.kind is CallerAnswer.Kind.DONE
    cell.run(3.0)
    assert cell.state("one", cell.lead_of()) is JobState.COMPLETED
