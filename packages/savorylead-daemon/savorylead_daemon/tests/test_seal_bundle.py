"""What a build writes into the folder of a daemon's packages."""

from __future__ import annotations

import importlib.machinery
import os
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from savorylead_daemon._bundle import describe_interpreter
from savorylead_daemon.seal_bundle import (
    compile_packages,
    extension_modules,
    install,
    supported_interpreters,
)

THIS = describe_interpreter()
#: Files of a folder.
PARTS = 5


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


# A daemon that started during a build found half of a package, and ended at once.
@pytest.mark.parametrize("is_there", [True, False])
def test_a_folder_is_replaced_as_a_whole(tmp_path: Path, is_there: bool) -> None:
    place, work = tmp_path / "deps", tmp_path / "work"
    work.mkdir()
    if is_there:
        place.mkdir()
        (place / "old").touch()
    new = work / "deps"
    new.mkdir()
    (new / "new").touch()
    install(new, place)
    assert [path.name for path in place.iterdir()] == ["new"]
    assert list(work.iterdir()) == []


def test_builds_at_the_same_time_leave_one_whole_folder(tmp_path: Path) -> None:
    place = tmp_path / "deps"

    def build(number: int) -> None:
        new = tmp_path / f"work-{number}" / "deps"
        new.mkdir(parents=True)
        for part in range(PARTS):
            (new / f"{number}.{part}").touch()
        install(new, place)

    with ThreadPoolExecutor(8) as builds:
        list(builds.map(build, range(64)))
    names = [path.name.partition(".")[0] for path in place.iterdir()]
    assert len(names) == PARTS
    assert len(set(names)) == 1
