"""'savoryctl explain' on log files."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from savorylead_ctl.exit_codes import ExitCode
from savorylead_ctl.main import run
from savorylead_standins.console import ManualClock

JOB = "b66d1910233c2eb2"
TASK = f"{JOB}.0.0.1"


def line(at_s: float, daemon: str, event: str, **details: Any) -> str:
    time = f"2026-04-22T01:29:{at_s:09.6f}+00:00"
    common = {"time": time, "level": "info", "daemon": daemon, "event": event}
    return json.dumps(common | details)


ACCEPTED = line(3.8, "edge-2", "job_accepted", job=JOB, queue="q", team="team")
TAKEN = line(3.9, "edge-1", "job_taken_in", job=JOB, pool="pool")
STARTED = line(
    4.5, "edge-1", "task_start", job=JOB, task_name=TASK, worker="w1", outcome="started"
)
DONE = line(
    6.0, "edge-1", "task_end", job=JOB, task_name=TASK, worker="w1", outcome="done"
)
ENDED = line(6.1, "edge-1", "job_ended", job=JOB, state="completed")
GOOD = (ACCEPTED, TAKEN, STARTED, DONE, ENDED)
OTHER = line(4.0, "edge-1", "task_end", job="other", worker="w9", outcome="failed")


def explain(
    folder: Path, subject: str, *texts: str, options: tuple[str, ...] = ()
) -> ExitCode:
    paths = []
    for number, text in enumerate(texts):
        path = folder / f"{number}.log"
        path.write_text(text)
        paths.append(str(path))
    return run(["explain", subject, *options, "--logs", *paths], {}, ManualClock())


def test_lines_of_all_daemons_are_merged_by_time(tmp_path, capsys):
    code = explain(tmp_path, JOB, f"{ACCEPTED}\n", "\n".join([ENDED, TAKEN, OTHER]))
    out = capsys.readouterr().out
    assert code is ExitCode.OK
    events = [text.split()[2] for text in out.splitlines() if text.startswith("01:")]
    assert events == ["job_accepted", "job_taken_in", "job_ended"]
    assert out.endswith("nothing went wrong in these lines\n")


@pytest.mark.parametrize(
    ("trouble", "meaning"),
    [
        (
            line(
                5.0,
                "edge-1",
                "task_end",
                job=JOB,
                task_name=TASK,
                worker="w1",
                outcome="failed",
            ),
            f"{TASK} on w1: failed",
        ),
        (
            line(
                5.0,
                "edge-1",
                "task_end",
                job=JOB,
                task_name=TASK,
                worker="w1",
                outcome="stopped",
                stop_reason="preempted",
            ),
            f"{TASK} on w1: stopped (preempted)",
        ),
        (
            line(4.0, "edge-1", "advice", step=f"{JOB}.0.0", asked=8, allowed=0),
            f"the policy allows {JOB}.0.0 on none of the given workers",
        ),
        (
            line(4.0, "edge-1", "team_short_of_limit", team="team", pool="pool"),
            "the team's limit kept tasks waiting",
        ),
        (
            line(4.0, "edge-1", "step_goes_first", job=JOB, waited_ms=5_010),
            "a step was prioritized after a long wait behind others",
        ),
        (
            line(4.0, "edge-3", "lead_began", pool="pool", term=4),
            "another daemon became the lead of the pool",
        ),
        (
            line(4.0, "edge-3", "load_repeated", pool="pool", prefix="in/pool/"),
            "the next lead could not read the pool's records yet",
        ),
        (
            line(4.0, "edge-3", "lead_handed_over", pool="pool", outcome="deleted"),
            "the lead handed the pool over to another daemon",
        ),
        (
            line(5.0, "edge-1", "worker_unreachable", worker="w1"),
            "a worker could not be reached",
        ),
        (
            line(5.0, "edge-1", "lease_unproved", renewed_ms_ago=1_803),
            "a daemon could not renew its lease at the store in time",
        ),
        (
            line(
                5.0,
                "edge-3",
                "lead_lease_ended",
                pool="pool",
                lead="edge-1",
                cannot_connect=5,
                detail="",
            ),
            "edge-3 ended the lease of the lead edge-1, "
            "to which 5 daemons could not connect",
        ),
        (
            line(
                5.0,
                "edge-3",
                "lead_lease_ended",
                pool="pool",
                lead="edge-1",
                cannot_connect=5,
                detail="timed out",
            ),
            "edge-3 tried to end the lease of the lead edge-1",
        ),
        (line(5.0, "edge-1", "lease_lost"), "a daemon lost its lease at the store"),
        (
            line(4.0, "edge-2", "call_refused", path=f"/q/{JOB}", reason="store"),
            "a daemon refused the call",
        ),
    ],
)
def test_the_first_trouble_is_named(tmp_path, capsys, trouble, meaning):
    explain(tmp_path, JOB, "\n".join([*GOOD, OTHER, trouble]))
    assert capsys.readouterr().out.rstrip().endswith(meaning)


CRASHED = line(
    5.0, "edge-1", "worker_crashed", worker="w1", pool="pool", task_runs=[f"{TASK}/1"]
)


def given_up(job: str) -> str:
    return line(
        9.0,
        "edge-1",
        "job_given_up",
        job=job,
        task_name=f"{job}.0.0.0",
        crashed_workers=["w1", "w7"],
    )


@pytest.mark.parametrize(
    ("subject", "guilty"),
    [(JOB, JOB), (TASK, JOB), ("w1", JOB), (JOB, "another")],
    ids=["the job", "its sibling", "the worker", "a job beside it"],
)
def test_a_task_that_crashes_its_workers_is_named_as_the_cause(
    tmp_path, capsys, subject, guilty
):
    unreachable = line(4.9, "edge-1", "worker_unreachable", worker="w1")
    last = line(
        9.5, "edge-1", "task_end", job=JOB, task_name=TASK, worker="w1", outcome="done"
    )
    text = "\n".join(
        [ACCEPTED, TAKEN, STARTED, unreachable, CRASHED, given_up(guilty), last]
    )
    explain(tmp_path, subject, text)
    expected = (
        f"{guilty}.0.0.0 was given up, and its job failed: "
        "2 workers crashed under it (w1, w7)"
    )
    assert capsys.readouterr().out.rstrip().endswith(expected)


def test_a_job_beside_a_crash_without_a_culprit_names_the_crash(tmp_path, capsys):
    explain(tmp_path, JOB, "\n".join([ACCEPTED, TAKEN, STARTED, CRASHED, ENDED]))
    out = capsys.readouterr().out.rstrip()
    assert out.endswith("a worker crashed with the runs on it")


def run_line(at_s: float, daemon: str, event: str, **details: Any) -> str:
    """Return a line on a run of the task."""
    return line(at_s, daemon, event, job=JOB, task_name=TASK, **details)


def started(at_s: float, daemon: str, run: int, worker: str) -> str:
    return run_line(
        at_s, daemon, "task_start", run=run, worker=worker, outcome="started"
    )


def ended(at_s: float, daemon: str, run: int, worker: str, outcome: str) -> str:
    return run_line(at_s, daemon, "task_end", run=run, worker=worker, outcome=outcome)


FIRST = started(10.0, "edge-1", 1, "w1")
SECOND = started(16.0, "edge-2", 65, "w2")
SECOND_DONE = ended(18.0, "edge-2", 65, "w2", "done")
LEASE_ENDED = line(
    10.9,
    "edge-3",
    "lead_lease_ended",
    pool="pool",
    lead="edge-1",
    cannot_connect=5,
    detail="",
)
#: Lines of the pool's change of leads, some of them after the last line of the job.
LEAD_CHANGE = (
    LEASE_ENDED,
    line(11.0, "edge-2", "lead_began", pool="pool", term=2),
    line(15.9, "edge-2", "former_lease_over", pool="pool", worker="w1", listed=True),
    line(15.9, "edge-2", "runs_located", pool="pool", waited_ms=4_900),
    line(21.0, "edge-1", "lease_lost", lease="7", renewed_ms_ago=10_400),
    line(21.0, "edge-1", "lead_ended", pool="pool", term=1, reason="lease_lost"),
    line(21.0, "edge-1", "lead_leases_left", pool="pool", term=1, leased_workers=0),
)
ON_TWO_WORKERS = (
    f"{TASK} ran on w1 (run 1, daemon edge-1) and on w2 (run 65, daemon edge-2)"
)


@pytest.mark.parametrize("subject", [JOB, TASK])
@pytest.mark.parametrize(
    ("runs", "meaning"),
    [
        (
            (FIRST, SECOND, ended(17.0, "edge-1", 1, "w1", "done"), SECOND_DONE),
            f"{ON_TWO_WORKERS} at once",
        ),
        (
            (FIRST, SECOND, SECOND_DONE),
            f"{ON_TWO_WORKERS}, perhaps at once: no end of run 1 is logged",
        ),
        (
            (
                FIRST,
                run_line(16.0, "edge-2", "run_adopted", run=65, worker="w2"),
                ended(17.0, "edge-2", 1, "w1", "stopped"),
            ),
            f"{ON_TWO_WORKERS} at once",
        ),
    ],
    ids=["an end after the start", "no end", "an adopted run"],
)
def test_two_runs_of_a_task_at_once_go_before_all_other_trouble(
    tmp_path, capsys, subject, runs, meaning
):
    former, *later = runs
    logs = [[ACCEPTED, TAKEN, former], LEAD_CHANGE, later]
    explain(tmp_path, subject, *("\n".join(log) for log in logs))
    out = capsys.readouterr().out.rstrip()
    assert out.endswith(meaning)
    # The leads' lines are shown too, those after the task's last line included.
    for event in map(json.loads, LEAD_CHANGE):
        assert f" {event['daemon']} {event['event']} " in out


@pytest.mark.parametrize(
    "runs",
    [
        (FIRST, ended(14.0, "edge-2", 1, "w1", "done"), SECOND),
        (FIRST, ended(14.0, "edge-2", 1, "w1", "worker_lease_lapsed"), SECOND),
        (FIRST, line(14.0, "edge-2", "worker_reborn", worker="w1"), SECOND),
        (FIRST, line(14.0, "edge-2", "worker_replaced", worker="w1"), SECOND),
        (
            FIRST,
            line(14.0, "edge-2", "worker_crashed", worker="w1", certain=True),
            SECOND,
        ),
        # The same run, told again by the next lead.
        (FIRST, run_line(12.0, "edge-2", "run_adopted", run=1, worker="w1")),
        # A worker has one run of a task at a time.
        (FIRST, started(16.0, "edge-2", 65, "w1")),
        # The caller permits copies, which a new lead may adopt.
        (
            FIRST,
            run_line(
                11.0,
                "edge-1",
                "task_start",
                run=2,
                worker="w2",
                outcome="started",
                copy=True,
                reason="late",
            ),
            run_line(16.0, "edge-2", "run_adopted", run=1, worker="w1"),
            run_line(16.0, "edge-2", "run_adopted", run=2, worker="w2", copy=True),
        ),
        # Some lines of a busy daemon are left out.
        (FIRST, started(16.0, "edge-1", 2, "w2")),
        (
            FIRST,
            run_line(
                16.0,
                "edge-2",
                "task_start",
                run=65,
                worker="w2",
                outcome="not_reached",
            ),
        ),
    ],
    ids=[
        "end",
        "lapse",
        "restart",
        "replaced worker",
        "crash",
        "adopted run",
        "same worker",
        "copy",
        "same daemon",
        "no start",
    ],
)
def test_runs_one_after_the_other_are_no_overlap(tmp_path, capsys, runs):
    explain(tmp_path, TASK, "\n".join([ACCEPTED, TAKEN, *runs]))
    assert " ran on " not in capsys.readouterr().out


@pytest.mark.parametrize(
    ("reason", "meaning"),
    [
        ("silent", "the worker of its first run did not answer"),
        ("stalled", "its first run made no progress or did not stop"),
        ("late", "its first run took longer than expected"),
    ],
)
def test_a_copy_is_described_with_its_reason(tmp_path, capsys, reason, meaning):
    copy = run_line(
        11.0,
        "edge-1",
        "task_start",
        run=2,
        worker="w2",
        outcome="started",
        copy=True,
        reason=reason,
    )
    explain(tmp_path, JOB, "\n".join([ACCEPTED, TAKEN, FIRST, copy]))
    out = capsys.readouterr().out.rstrip()
    assert out.endswith(f"a copy of {TASK} was started on w2: {meaning}")


@pytest.mark.parametrize(
    ("stop_reason", "is_trouble"), [("not_needed", False), ("stalled", True)]
)
def test_the_stop_of_a_run_that_is_not_needed_is_no_trouble(
    tmp_path, capsys, stop_reason, is_trouble
):
    stopped = run_line(
        19.0,
        "edge-2",
        "task_end",
        run=1,
        worker="w1",
        outcome="stopped",
        stop_reason=stop_reason,
    )
    explain(tmp_path, JOB, "\n".join([ACCEPTED, TAKEN, stopped]))
    ends_well = "nothing went wrong in these lines\n"
    assert capsys.readouterr().out.endswith(ends_well) is not is_trouble


def test_a_presumed_crash_ends_no_run(tmp_path, capsys):
    presumed = line(14.0, "edge-2", "worker_crashed", worker="w1", certain=False)
    explain(tmp_path, TASK, "\n".join([ACCEPTED, FIRST, presumed, SECOND]))
    assert f"{ON_TWO_WORKERS}, perhaps" in capsys.readouterr().out


@pytest.mark.parametrize("event", ["lead_leases_left", "runs_located"])
def test_a_change_of_the_lead_without_trouble_is_shown_beside_a_task(
    tmp_path, capsys, event
):
    text = "\n".join([*GOOD, line(5.0, "edge-3", event, pool="pool")])
    explain(tmp_path, TASK, text)
    out = capsys.readouterr().out
    assert event in out
    assert out.endswith("nothing went wrong in these lines\n")


@pytest.mark.parametrize(
    "unrelated",
    [
        line(4.0, "edge-1", "team_short_of_limit", team="another", pool="pool"),
        line(4.0, "edge-3", "lead_began", pool="another", term=4),
        line(4.0, "edge-3", "lead_lease_ended", pool="another", lead="edge-1"),
        line(5.0, "edge-1", "worker_unreachable", worker="w2"),
        line(59.0, "edge-1", "worker_unreachable", worker="w1"),
    ],
)
def test_what_befell_others_is_left_out(tmp_path, capsys, unrelated):
    explain(tmp_path, JOB, "\n".join([*GOOD, unrelated]))
    assert "nothing went wrong" in capsys.readouterr().out


@pytest.mark.parametrize("subject", ["w1", "team", TASK])
def test_a_worker_a_team_and_a_task_are_explained_too(tmp_path, capsys, subject):
    assert explain(tmp_path, subject, "\n".join(GOOD)) is ExitCode.OK
    assert subject in capsys.readouterr().out


def test_a_log_cut_short_is_read_as_far_as_it_goes(tmp_path, capsys):
    text = "\n".join(["Traceback", "  12.5 edge-2 " + ACCEPTED, TAKEN[:40], "{}"])
    code = explain(tmp_path, JOB, text, options=("--json",))
    captured = capsys.readouterr()
    assert code is ExitCode.OK
    assert "3 lines could not be read" in captured.err
    document = json.loads(captured.out)
    assert [each["event"] for each in document["lines"]] == ["job_accepted"]
    assert document["first_trouble"] is None


def test_an_id_within_another_is_not_meant(tmp_path, capsys):
    code = explain(tmp_path, JOB[:8], "\n".join(GOOD))
    assert code is ExitCode.NOT_FOUND
    assert "names b66d1910" in capsys.readouterr().err


def test_a_missing_file_is_a_wrong_command_line(tmp_path, capsys):
    arguments = ["explain", JOB, "--logs", str(tmp_path / "none.log")]
    assert run(arguments, {}, ManualClock()) is ExitCode.USAGE
    assert "none.log" in capsys.readouterr().err
