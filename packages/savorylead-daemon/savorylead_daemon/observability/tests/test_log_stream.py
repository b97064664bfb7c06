"""Log lines go to standard output; a reader that stops reading blocks no writer."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading

from savorylead_daemon.observability import LogStream

LINE = "x" * 999 + "\n"


def test_a_full_pipe_drops_lines_and_tells_how_many() -> None:
    reader, writer = os.pipe()
    stream = LogStream(writer)
    done = threading.Event()

    def write_much() -> None:
        for _ in range(1_000):
            stream.write(LINE)
        done.set()

    thread = threading.Thread(target=write_much, daemon=True)
    thread.start()
    assert done.wait(10)
    dropped = stream.dropped
    assert dropped > 0
    received = os.read(reader, 10_000_000)
    stream.write("last\n")
    received += os.read(reader, 10_000_000)
    os.close(reader)
    os.close(writer)
    lines = received.decode().splitlines()
    assert lines[-1] == "last"
    reported = [
        json.loads(line)["count"] for line in lines[:-1] if line != LINE.strip()
    ]
    assert reported[-1] == dropped
    written = lines.count(LINE.strip())
    assert written + sum(reported) == 1_000


def test_a_reader_that_went_away_does_not_end_the_process() -> None:
    reader, writer = os.pipe()
    stream = LogStream(writer)
    os.close(reader)
    stream.write(LINE)
    os.close(writer)
    assert stream.dropped == 1


# Each line that a full disk refused put a traceback into standard error.
def test_a_full_disk_drops_lines_without_an_error() -> None:
    with open("/dev/full", "wb", buffering=0) as full:
        stream = LogStream(full.fileno())
        stream.write(LINE)
        stream.write(LINE)
    assert stream.dropped == 2


def test_lines_of_a_daemon_go_to_standard_output() -> None:
    program = (
        "import sys;"
        "from savorylead_daemon.observability import LogStream, configure_logging;"
        "from savorylead_daemon.settings import LogLevel;"
        "from absl import logging;"
        "configure_logging('d', LogLevel.INFO, LogStream(sys.stdout.fileno()));"
        "logging.info('hello')"
    )
    run = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert '"detail":"hello"' in run.stdout
    assert run.stderr == ""
