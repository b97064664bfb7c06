"""Explains the course of a job, task, worker or team from log files."""

from ._explanation import Explanation, Subject, explain_subject
from ._log_lines import LogLine, LogRead, read_logs

__all__ = [
    "LogLine",
    "LogRead",
    "Explanation",
    "Subject",
    "read_logs",
    "explain_subject",
]
