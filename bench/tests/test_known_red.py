"""Listed tests are passed over and printed; an entry without a test is an error."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
TESTS = """
import pytest

def test_sound():
    pass

@pytest.mark.parametrize("row", [1, 2])
def test_red(row):
    assert row == 3

@pytest.fixture
def broken():
    raise ValueError

def test_red_fixture(broken):
    pass
"""
RED = "tests/test_rows.py::test_red"
FIXTURE = "tests/test_rows.py::test_red_fixture"
NOTES = "\n    command: make test\n    seen: it fails\n    issue: 1\n"
BOTH = f"{RED}{NOTES}\n{FIXTURE}{NOTES}"


@pytest.fixture
def project(tmp_path: Path) -> Path:
    shutil.copy(ROOT / "conftest.py", tmp_path)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_rows.py").write_text(TESTS)
    return tmp_path


def run_tests(project: Path, known_red: str, *args: str) -> tuple[int, str]:
    (project / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args]
    done = subprocess.run(command, cwd=project, capture_output=True, text=True)
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("workers", [(), ("-n", "2")])
@pytest.mark.parametrize(
    ("known_red", "exit_code", "told"),
    [
        pytest.param("# Nothing.\n", 1, "2 failed", id="none listed"),
        pytest.param(BOTH, 0, "3 xfailed", id="all listed"),
        pytest.param(BOTH, 0, "seen: it fails", id="notes are printed"),
        pytest.param(BOTH, 0, f"{RED}[2] failed in this run", id="outcomes"),
        pytest.param(f"{RED}{NOTES}", 1, "1 error", id="another fails"),
        pytest.param(f"{RED}[1]{NOTES}{FIXTURE}{NOTES}", 1, "1 failed", id="one row"),
        pytest.param(
            f"{BOTH}tests/gone.py::test{NOTES}", 4, "no test matches", id="gone"
        ),
        pytest.param(f"{BOTH}{RED}[3]{NOTES}", 4, "no test matches", id="no such row"),
        pytest.param(f"{BOTH}{RED[:-1]}{NOTES}", 4, "no test matches", id="prefix"),
        pytest.param(f"{RED}\n", 4, "no notes on", id="without notes"),
        pytest.param("    issue: 1\n", 4, "notes without a test", id="without a test"),
    ],
)
def test_exactly_the_listed_tests_are_passed_over(
    project: Path, known_red: str, exit_code: int, told: str, workers: tuple[str, ...]
) -> None:
    code, output = run_tests(project, known_red, *workers)
    assert told in output
    assert code == exit_code


def test_a_listed_test_that_passes_is_told(project: Path) -> None:
    entry = f"tests/test_rows.py::test_sound{NOTES}"
    code, output = run_tests(project, f"{BOTH}{entry}")
    assert code == 0
    assert "test_sound passed in this run" in output


def test_a_part_of_the_tests_needs_no_match(project: Path) -> None:
    code, _ = run_tests(project, BOTH, "tests/test_rows.py::test_sound")
    assert code == 0
