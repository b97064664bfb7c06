"""Explains the course of a job, task, worker or team from log files."""

from ._log_lines import LogLine, LogRead, read_logs
from ._story import Story, Subject, tell_story

__all__ = ["LogLine", "LogRead", "Story", "Subject", "read_logs", "tell_story"]
