"""JSON-lines logging with a rate limit per event."""

from __future__ import annotations

import logging as standard_logging
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

import msgspec
from absl import flags, logging
from twisted.logger import (
    FilteringLogObserver,
    LogLevel as TwistedLevel,
    LogLevelFilterPredicate,
    STDLibLogObserver,
    globalLogBeginner,
)

from savorylead.clock import Clock
from savorylead.contracts import TaskId
from savorylead_daemon.settings import LogLevel

from ._log_stream import LogStream

_SEVERITIES = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}
#: Length of the window in which the lines of an event are counted.
RATE_WINDOW = timedelta(seconds=1)
#: Events without a limit: one line per job, from which its time is read.
UNLIMITED_EVENTS = frozenset({"job_ended"})
#: Outcomes that are counted apart from others of the event. Under load they exceed the
#: limit, and would suppress the lines that give a reason.
EXPECTED_OUTCOMES = frozenset({("task_start", "started"), ("task_end", "done")})


class LogSubject(NamedTuple):
    """The objects that a log line refers to; fields that are None are omitted."""

    task: TaskId | None = None
    team: str | None = None
    shard: str | None = None
    epoch: int | None = None
    revision: int | None = None

    def fields(self) -> dict[str, Any]:
        """Return the fields that are set, in their logged form."""
        fields = {k: v for k, v in self._asdict().items() if v is not None}
        if self.task is not None:
            fields["task"] = str(self.task)
            fields.setdefault("team", self.task.team)
        return fields


_NO_SUBJECT = LogSubject()


class _JsonLineFormatter(standard_logging.Formatter):
    """Formats each record, including those of libraries, as one JSON object."""

    def __init__(self, daemon: str) -> None:
        super().__init__()
        self._daemon = daemon

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line without its line terminator."""
        line: dict[str, Any] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "daemon": self._daemon,
        }
        fields = getattr(record, "event_fields", None)
        if fields is None:
            line["event"] = "message"
            line["logger"] = record.name
            line["detail"] = record.getMessage()
        else:
            line.update(fields)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def configure_logging(
    daemon: str, level: LogLevel, stream: LogStream | None = None
) -> None:
    """Write JSON lines to ``stream``; Twisted's own events from warning level up.

    Without a stream they go to standard error, where a write may block.
    """
    # argparse parses the command line, so absl's flags keep their default values.
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.logtostderr = stream is None
    logging.use_absl_handler()
    if stream is not None:
        logging.get_absl_handler().python_handler.stream = stream
    set_log_level(level)
    logging.get_absl_handler().setFormatter(_JsonLineFormatter(daemon))
    warnings_on = LogLevelFilterPredicate(defaultLogLevel=TwistedLevel.warn)
    observer = FilteringLogObserver(STDLibLogObserver(), [warnings_on])
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def set_log_level(level: LogLevel) -> None:
    """Set the lowest level that is written."""
    logging.set_verbosity(_SEVERITIES[level])


class _Window:
    """Counts of the lines under one limit since the start of the window."""

    __slots__ = ("began_at", "suppressed", "written")

    def __init__(self, began_at: datetime) -> None:
        self.began_at = began_at
        self.written = 0
        self.suppressed = 0


class EventLog:
    """Writes events; those beyond the rate limit are counted instead of written.

    The next line under the same limit has the number of omitted lines in
    ``suppressed``. Lines of an event share one limit, apart from EXPECTED_OUTCOMES.
    """

    def __init__(self, clock: Clock, lines_per_event_per_s: int) -> None:
        self._clock = clock
        self._lines_per_window = lines_per_event_per_s
        #: By event, and whether the outcome is an expected one.
        self._windows: dict[tuple[str, bool], _Window] = {}

    def set_rate(self, lines_per_event_per_s: int) -> None:
        """Set the rate limit, in lines per event and second."""
        self._lines_per_window = lines_per_event_per_s

    def log_event(
        self,
        level: LogLevel,
        event: str,
        subject: LogSubject = _NO_SUBJECT,
        **details: Any,
    ) -> bool:
        """Write one line unless the event exceeds the rate limit.

        Returns whether the line was written. ``event`` is a constant name in snake
        case; variable data goes into ``details``, whose values are encoded as JSON.
        Errors and UNLIMITED_EVENTS are exempt from the rate limit.
        """
        severity = _SEVERITIES[level]
        if not logging.get_absl_logger().isEnabledFor(
            logging.converter.absl_to_standard(severity)
        ):
            return False
        is_expected = (event, details.get("outcome")) in EXPECTED_OUTCOMES
        is_exempt = level is LogLevel.ERROR or event in UNLIMITED_EVENTS
        suppressed = self._admit((event, is_expected), is_exempt)
        if suppressed is None:
            return False
        fields = {"event": event, **subject.fields(), **details}
        if suppressed:
            fields["suppressed"] = suppressed
        logging.log(severity, "%s", event, extra={"event_fields": fields})
        return True

    def _admit(self, limited: tuple[str, bool], exempt: bool) -> int | None:
        """Return the number of lines suppressed before this one.

        None means that this line is suppressed as well.
        """
        now = self._clock.now()
        window = self._windows.get(limited)
        if window is None:
            window = self._windows[limited] = _Window(now)
        if now - window.began_at >= RATE_WINDOW:
            window.began_at = now
            window.written = 0
        if window.written >= self._lines_per_window and not exempt:
            window.suppressed += 1
            return None
        window.written += 1
        suppressed = window.suppressed
        window.suppressed = 0
        return suppressed
