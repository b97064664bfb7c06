"""What a build writes into the folder of a daemon's packages."""

from __future__ import annotations

import importlib.machinery
import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from savorylead_daemon._bundle import describe_interpreter
from savorylead_daemon.seal_bundle import (
    compile_packages,
    extension_modules,
    supported_interpreters,
)

THIS = describe_interpreter()


# A copy of the build with new times of its files made a daemon compile every module at
# each start; on a busy core it was not ready within 15 s.
def test_bytecode_is_used_in_a_copy_with_other_times(tmp_path: Path) -> None:
    built = tmp_path / "built"
    built.mkdir()
    module = built / "part.py"
    module.write_text("VALUE = 1\n")
    compile_packages(built)
    copy = tmp_path / "copy"
    shutil.copytree(built, copy)
    os.utime(copy / "part.py", (1, 1))
    done = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import part"],
        env={"PYTHONPATH": str(copy)},
        capture_output=True,
        text=True,
        check=True,
    )
    (used,) = [line for line in done.stderr.splitlines() if f"from '{copy}" in line]
    assert used.endswith(".pyc'")


def test_compiled_modules_are_found_by_their_names(tmp_path: Path) -> None:
    suffix = importlib.machinery.EXTENSION_SUFFIXES[0]
    package = tmp_path / "package"
    package.mkdir()
    (package / f"_core{suffix}").touch()
    (package / "_core.cpython-310-riscv64-linux-gnu.so").touch()
    (tmp_path / "alone.so").touch()
    assert list(extension_modules(tmp_path)) == ["alone", "package._core"]


@pytest.mark.parametrize(
    ("modules", "expected"),
    [
        ((), {THIS}),
        ((f"a.{THIS}.so", f"b.{THIS}.so"), {THIS}),
        ((f"a.{THIS}.so", "a.other.so", f"b.{THIS}.so"), {THIS}),
        ((f"a.{THIS}.so", "a.other.so", f"b.{THIS}.so", "b.other.so"), {THIS, "other"}),
        ((f"a.{THIS}.so", "a.other.so", "b.abi3.so", "c.so"), {THIS, "other"}),
    ],
)
def test_interpreters_are_listed_that_no_compiled_module_lacks(
    modules: tuple[str, ...], expected: set[str], tmp_path: Path
) -> None:
    for name in modules:
        (tmp_path / name).touch()
    assert set(supported_interpreters(tmp_path)) == expected
