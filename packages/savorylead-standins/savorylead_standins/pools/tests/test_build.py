"""The build of the deploy folder installs libraries when they may not fit any more."""

from __future__ import annotations

import os
import shutil
import subprocess
from collections.abc import Callable
from pathlib import Path

import pytest

from .started_daemon import SOURCES, WORKSPACE

#: Stands for the interpreter: tells its kind, and notes the commands.
INTERPRETER = """#!/bin/sh
case "$1 $2" in
-c*) cat {folder}/kind ;;
"-m pip") echo "$@" >>{folder}/commands; mkdir -p target/deps ;;
*) echo "$@" >>{folder}/commands ;;
esac
"""
LIBRARIES = "deploy/requirements.txt"


class Checkout:
    """A checkout that is built with a stand-in of the interpreter."""

    def __init__(self, folder: Path) -> None:
        self.root = folder / "checkout"
        self.kind = folder / "kind"
        self._commands = folder / "commands"
        self._programs = folder / "bin"
        shutil.copytree(WORKSPACE / "deploy", self.root / "deploy")
        shutil.copy(WORKSPACE / "constraints.txt", self.root)
        for source in SOURCES:
            (self.root / source).mkdir(parents=True)
        self.kind.write_text("cpython-311")
        self._programs.mkdir()
        program = self._programs / "python3"
        program.write_text(INTERPRETER.replace("{folder}", str(folder)))
        program.chmod(0o755)

    def build(self) -> list[str]:
        """Return the commands of a build."""
        self._commands.write_text("")
        subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=self.root,
            env={"PATH": f"{self._programs}:{os.environ['PATH']}"},
            timeout=30,
            check=True,
        )
        return self._commands.read_text().splitlines()

    def installs_libraries(self) -> bool:
        return any(LIBRARIES in command for command in self.build())


def nothing(checkout: Checkout) -> None:
    pass


def another_interpreter(checkout: Checkout) -> None:
    checkout.kind.write_text("cpython-312")


def another_machine(checkout: Checkout) -> None:
    checkout.kind.write_text("cpython-311-aarch64")


def another_release(checkout: Checkout) -> None:
    path = checkout.root / "constraints.txt"
    path.write_text(path.read_text() + "more==1.0\n")


def another_library(checkout: Checkout) -> None:
    path = checkout.root / LIBRARIES
    path.write_text(path.read_text() + "more\n")


# A build folder that another machine had filled kept its compiled libraries, which the
# daemons could not load.
@pytest.mark.parametrize(
    ("change", "is_needed"),
    [
        (nothing, False),
        (another_interpreter, True),
        (another_machine, True),
        (another_release, True),
        (another_library, True),
    ],
)
def test_libraries_are_installed_again_if_they_may_not_fit(
    change: Callable[[Checkout], None], is_needed: bool, tmp_path: Path
) -> None:
    checkout = Checkout(tmp_path)
    assert checkout.installs_libraries()
    stale = checkout.root / "target" / "deps" / "stale"
    stale.touch()
    change(checkout)
    assert checkout.installs_libraries() is is_needed
    assert stale.exists() is not is_needed


def test_a_build_ends_with_the_seal(tmp_path: Path) -> None:
    checkout = Checkout(tmp_path)
    manifest = checkout.root / "target" / "deps" / "savorylead-bundle.txt"
    manifest.parent.mkdir(parents=True)
    manifest.touch()
    assert "seal_bundle savorylead_platform" in checkout.build()[-1]
    assert not manifest.exists()
