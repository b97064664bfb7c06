import json
import logging as standard_logging
import subprocess
import sys
from datetime import UTC, datetime

import pytest
from absl import logging
from twisted.internet.task import Clock as ManualTime

from savorylead.clock import TwistedClock
from savorylead.contracts import TaskId
from savorylead_daemon.observability import EventLog, LogSubject
from savorylead_daemon.settings import LogLevel


@pytest.fixture
def records():
    """Collect the records logged at info level and above."""
    collected = []
    handler = standard_logging.Handler()
    handler.emit = collected.append
    logger = logging.get_absl_logger()
    verbosity = logging.get_verbosity()
    logger.addHandler(handler)
    logging.set_verbosity(logging.INFO)
    yield collected
    logger.removeHandler(handler)
    logging.set_verbosity(verbosity)


def new_log(lines_per_event_per_s=2):
    time = ManualTime()
    clock = TwistedClock(time, datetime(2030, 1, 1, tzinfo=UTC))
    return EventLog(clock, lines_per_event_per_s), time


def test_fields_are_kept_apart_from_the_text(records):
    log, _ = new_log()
    subject = LogSubject(
        task=TaskId("dispatch", "winter", "b-1"), shard="mv-1", epoch=3, revision=9
    )
    assert log.log_event(LogLevel.INFO, "task_placed", subject, worker="w-1")
    assert records[0].event_fields == {
        "event": "task_placed",
        "task": "dispatch/winter/b-1/0",
        "team": "dispatch",
        "shard": "mv-1",
        "epoch": 3,
        "revision": 9,
        "worker": "w-1",
    }


def test_an_event_that_comes_too_often_is_counted(records):
    log, time = new_log(lines_per_event_per_s=2)
    written = [log.log_event(LogLevel.INFO, "store_slow") for _ in range(5)]
    assert written == [True, True, False, False, False]
    assert log.log_event(LogLevel.INFO, "another_event")
    time.advance(1)
    assert log.log_event(LogLevel.INFO, "store_slow")
    assert records[-1].event_fields == {"event": "store_slow", "suppressed": 3}
    assert log.log_event(LogLevel.INFO, "store_slow")
    assert "suppressed" not in records[-1].event_fields


def test_ends_of_jobs_are_never_left_out(records):
    # Guards against jobs whose time can't be read from the log.
    log, _ = new_log(lines_per_event_per_s=1)
    assert all(log.log_event(LogLevel.INFO, "job_ended") for _ in range(3))


@pytest.mark.parametrize(
    ("event", "expected", "others"),
    [
        ("task_start", "started", ("no_room", "preempted")),
        ("task_end", "done", ("stopped", "failed")),
    ],
)
def test_expected_outcomes_leave_the_limit_to_the_others(
    records, event, expected, others
):
    # Guards against lines with a reason being suppressed by those without one.
    log, time = new_log(lines_per_event_per_s=2)
    outcomes = (expected,) * 4 + others + (others[0],)
    written = [log.log_event(LogLevel.INFO, event, outcome=o) for o in outcomes]
    assert written == [True, True, False, False, True, True, False]
    time.advance(1)
    for outcome in (expected, others[0]):
        log.log_event(LogLevel.INFO, event, outcome=outcome)
    assert [r.event_fields["suppressed"] for r in records[-2:]] == [2, 1]


def test_expected_outcomes_of_other_events_are_not_counted_apart(records):
    log, _ = new_log(lines_per_event_per_s=1)
    assert log.log_event(LogLevel.INFO, "advice", outcome="done")
    assert not log.log_event(LogLevel.INFO, "advice", outcome="failed")


def test_errors_are_never_left_out(records):
    log, _ = new_log(lines_per_event_per_s=1)
    assert all(log.log_event(LogLevel.ERROR, "journal_corrupt") for _ in range(3))


def test_a_level_below_the_verbosity_is_not_written(records):
    log, _ = new_log()
    assert not log.log_event(LogLevel.DEBUG, "poll_done")
    assert records == []


PROGRAM = """
from absl import logging
from twisted.logger import Logger
from savorylead_daemon.observability import configure_logging
from savorylead_daemon.settings import LogLevel
configure_logging("entry-1", LogLevel.INFO)
logging.info("plain %s", "text")
Logger(namespace="twisted.part").info("quiet")
Logger(namespace="twisted.part").error("loud {what}", what="one")
try:
    1 / 0
except ZeroDivisionError:
    logging.exception("it broke")
"""


def test_lines_of_libraries_are_json_too():
    # Logging handlers are global to a process, so this test uses a subprocess.
    process = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60
    )
    lines = [json.loads(line) for line in process.stderr.splitlines()]
    assert [(line["level"], line["detail"]) for line in lines] == [
        ("info", "plain text"),
        ("error", "loud one"),
        ("error", "it broke"),
    ]
    assert {line["daemon"] for line in lines} == {"entry-1"}
    assert "ZeroDivisionError" in lines[-1]["traceback"]
