"""The build of the deploy folder: what it installs again, and when."""

from __future__ import annotations

import os
import shutil
import subprocess
from collections.abc import Callable
from pathlib import Path

import pytest

from .started_daemon import BUILD_S, SOURCES, WORKSPACE

#: Stands for the interpreter: tells its kind, notes the commands, and installs one
#: library with a compiled module; there is none for Python 3.13.
INTERPRETER = """#!/bin/sh
case "$1" in
-c) cat {folder}/kind; exit ;;
esac
echo "$@" >>{folder}/commands
if [ "$2" = savorylead_daemon.seal_bundle ]; then
    # The daemons that start meanwhile use the former packages.
    ls -A target/deps >{folder}/meanwhile 2>&1 || true
    rm -rf "$4"
    mv "$PYTHONPATH" "$4"
    exit
fi
release=own
while [ $# -gt 0 ]; do
    case "$1" in
    --target) target=$2 ;;
    --python-version) release=$2 ;;
    esac
    shift
done
[ "$release" != 3.13 ] || exit 1
[ -n "$target" ] || exit 0
mkdir -p "$target/lib" "$target/lib-1.0.dist-info"
touch "$target/lib/_core.$release.so"
echo "lib/_core.$release.so,," >"$target/lib-1.0.dist-info/RECORD"
"""
LIBRARIES = "deploy/requirements.txt"


class Checkout:
    """A checkout that is built with a stand-in of the interpreter."""

    def __init__(self, folder: Path) -> None:
        self.root = folder / "checkout"
        self.kind = folder / "kind"
        #: What the last build wrote to standard error.
        self.errors = ""
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
        done = subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=self.root,
            env={"PATH": f"{self._programs}:{os.environ['PATH']}"},
            capture_output=True,
            text=True,
            timeout=BUILD_S,
            check=True,
        )
        self.errors = done.stderr
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


def another_source(checkout: Checkout) -> None:
    (checkout.root / SOURCES[0] / "new.py").touch()


# A build folder that another machine had filled kept its compiled libraries, which the
# daemons could not load.
@pytest.mark.parametrize(
    ("change", "is_needed"),
    [
        (nothing, False),
        (another_source, False),
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
    seal = "seal_bundle --install target/deps savorylead_platform"
    assert seal in checkout.build()[-1]
    assert not manifest.exists()


# A daemon that started during a build found half of a package, and ended at once.
def test_a_build_leaves_the_former_packages_until_its_end(tmp_path: Path) -> None:
    checkout = Checkout(tmp_path)
    checkout.build()
    former = sorted(path.name for path in (checkout.root / "target/deps").glob("*"))
    another_source(checkout)
    assert checkout.build()
    assert (tmp_path / "meanwhile").read_text().split() == former
    assert [path.name for path in (checkout.root / "target").iterdir()] == ["deps"]


def test_a_build_that_is_up_to_date_does_nothing(tmp_path: Path) -> None:
    checkout = Checkout(tmp_path)
    checkout.build()
    assert checkout.build() == []


# A daemon that another release of Python started than that of the build ended at once.
def test_compiled_modules_for_other_interpreters_are_added(tmp_path: Path) -> None:
    checkout = Checkout(tmp_path)
    commands = checkout.build()
    assert [c for c in commands if "--python-version 3.12" in c and "lib==1.0" in c]
    modules = (checkout.root / "target" / "deps" / "lib").iterdir()
    found = {path.name.removeprefix("_core.").removesuffix(".so") for path in modules}
    assert found == {"own", "3.11", "3.12", "3.14"}
    assert "no compiled modules for Python 3.13" in checkout.errors
