"""savoryctl as a separate process: exit codes and a closed standard output."""

import os
import subprocess
import sys

import pytest

from savorylead_ctl.exit_codes import ExitCode
from savorylead_standins.console import closed_endpoint
from savorylead_standins.services import OPERATOR_KEY

PROGRAM = "from savorylead_ctl.main import main; main()"


def start(*argv, endpoint, stdout=subprocess.PIPE):
    environ = {
        **os.environ,
        "SAVORYLEAD_ENDPOINTS": endpoint,
        "SAVORYLEAD_KEY": OPERATOR_KEY,
        # Buffer the output as for users, even if the tests' environment disables that.
        "PYTHONUNBUFFERED": "",
    }
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *argv],
        env=environ,
        stdout=stdout,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize(
    ("argv", "code", "text"),
    [
        (["shards"], ExitCode.OK, "mv-1"),
        (["shares", "set", "nobody", "1"], ExitCode.USAGE, "nobody"),
        (["no-such-command"], ExitCode.USAGE, "no-such-command"),
    ],
)
def test_the_exit_code_is_that_of_the_process(server, argv, code, text):
    process = start(*argv, endpoint=server.endpoint)
    out, err = process.communicate(timeout=60)
    assert process.returncode == code
    assert text in out + err


def test_no_endpoint_ends_the_process_with_its_code():
    process = start("shards", endpoint=closed_endpoint())
    _, err = process.communicate(timeout=60)
    assert process.returncode == ExitCode.UNREACHABLE
    assert "Traceback" not in err


def test_a_closed_stdout_gives_no_traceback(server):
    reading, writing = os.pipe()
    os.close(reading)
    process = start("shards", endpoint=server.endpoint, stdout=writing)
    os.close(writing)
    _, err = process.communicate(timeout=60)
    assert "Traceback" not in err
    assert "BrokenPipe" not in err
