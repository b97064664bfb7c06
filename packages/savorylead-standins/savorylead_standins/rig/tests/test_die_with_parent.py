"""No daemon of a run outlives the run, also if it is stopped by a signal."""

import signal
import subprocess
import sys

CHILD = """
import os, signal
from savorylead_standins.rig.run_daemon import die_with_parent
die_with_parent({parent})
print("ready", flush=True)
os.kill(os.getpid(), signal.SIGSTOP)
"""
PARENT = f"""
import os, subprocess, sys, time
code = {CHILD!r}.format(parent=os.getpid())
subprocess.Popen([sys.executable, "-c", code])
time.sleep(60)
"""


def test_a_stopped_child_dies_with_its_killed_parent():
    parent = subprocess.Popen(
        [sys.executable, "-c", PARENT], stdout=subprocess.PIPE, text=True
    )
    assert parent.stdout.readline() == "ready\n"
    parent.send_signal(signal.SIGKILL)
    # The output ends only when the child, which shares it, has ended, too.
    rest, _ = parent.communicate(timeout=30)
    assert rest == ""


def test_a_child_whose_parent_has_gone_already_ends():
    code = CHILD.format(parent=1 << 22)
    ended = subprocess.run([sys.executable, "-c", code], timeout=30, check=False)
    assert ended.returncode == -signal.SIGKILL
