"""Daemons serve from their own packages, whatever surrounds their start."""

from __future__ import annotations

import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from savorylead_daemon._start_error import EXIT_FAILURE, EXIT_UNUSABLE_PACKAGES
from savorylead_standins.rig import HOST

from .started_daemon import (
    StartedDaemon,
    make_bundle,
    pool_settings,
    seal,
    shard_settings,
)

KINDS = {"pools": pool_settings, "shards": shard_settings}

#: A package that fails like a library whose compiled part is missing.
BROKEN = "raise RuntimeError('broken package')"
#: Runs in the interpreter before any module of the daemon.
PRELOADED = """
import sys, types
zope = types.ModuleType("zope")
zope.__path__ = [{folder!r}]
sys.modules["zope"] = zope
sys.modules["OpenSSL"] = types.ModuleType("OpenSSL")
sys.modules["OpenSSL"].__file__ = {folder!r} + "/OpenSSL.py"
"""
#: An import hook such as an editable installation leaves.
HOOK = """
import sys
from importlib.util import spec_from_file_location
class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "h2":
            return spec_from_file_location(name, {folder!r} + "/hidden.py")
sys.meta_path.insert(0, Finder())
"""


class Foreign(NamedTuple):
    """Packages that do not belong to the daemon."""

    #: Source texts by file name; ``{folder}`` in braces stands for their folder.
    files: dict[str, str]
    #: Where they are found: "later" or "earlier" on the import path than the daemon's
    #: packages, in the "working" directory, or in the "user" site of the home folder.
    place: str = "later"


NO_HELPER = {"OpenSSL/__init__.py": "", "OpenSSL/SSL.py": "class Error(Exception): ..."}
FOREIGN = {
    "broken TLS": Foreign({"OpenSSL/__init__.py": BROKEN}),
    "TLS without its helper": Foreign(NO_HELPER),
    "old TLS": Foreign({**NO_HELPER, "service_identity.py": "from attr import nope"}),
    "broken HTTP/2": Foreign({"h2/__init__.py": BROKEN}),
    "broken TLS of the user": Foreign({"OpenSSL.py": BROKEN}, "user"),
    "broken TLS in the working directory": Foreign({"OpenSSL.py": BROKEN}, "working"),
    "libraries in the working directory": Foreign(
        {"twisted.py": BROKEN, "msgspec.py": BROKEN}, "working"
    ),
    "libraries found earlier": Foreign(
        {"typing_extensions.py": "", "attr/__init__.py": BROKEN}, "earlier"
    ),
    "preloaded packages": Foreign({"sitecustomize.py": PRELOADED, "interface.py": ""}),
    "an import hook": Foreign({"sitecustomize.py": HOOK, "hidden.py": BROKEN}),
}


@pytest.fixture(scope="module")
def packages(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return make_bundle(tmp_path_factory.mktemp("build") / "deps")


@pytest.fixture
def started(tmp_path: Path) -> Iterator[Any]:
    daemons: list[StartedDaemon] = []

    def start(kind: str, environment: dict[str, str], **more: Any) -> StartedDaemon:
        settings, probe = KINDS[kind]()
        settings["listen"].update(more.pop("listen", {}))
        daemons.append(StartedDaemon(tmp_path, settings, probe, environment, **more))
        return daemons[-1]

    yield start
    for daemon in daemons:
        daemon.close()


def install(foreign: Foreign, folder: Path) -> None:
    for name, text in foreign.files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text.replace("{folder!r}", repr(str(folder))))


# Daemons ended at their start: an optional package of the interpreter, which a library
# imports only if it is there, could not be loaded.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=list(FOREIGN))
def test_foreign_packages_do_not_keep_a_daemon_from_serving(
    foreign: Foreign, kind: str, packages: Path, tmp_path: Path, started: Any
) -> None:
    home = tmp_path / "home"
    site = f"lib/python{sys.version_info.major}.{sys.version_info.minor}/site-packages"
    folder = home / ".local" / site if foreign.place == "user" else tmp_path / "foreign"
    install(foreign, folder)
    path = [str(packages)]
    if foreign.place in ("earlier", "later"):
        path.insert(0 if foreign.place == "earlier" else 1, str(folder))
    daemon = started(
        kind,
        {"PYTHONPATH": ":".join(path), "HOME": str(home)},
        working_directory=folder if foreign.place == "working" else None,
    )
    daemon.wait_until_it_serves()


def built_for_another(packages: Path) -> str:
    (manifest,) = packages.glob("savorylead-bundle.*")
    manifest.write_text("cpython-310-riscv64-linux-gnu\n")
    return "built for cpython-310-riscv64-linux-gnu"


def library_missing(packages: Path) -> str:
    (packages / "msgspec").unlink()
    return "ModuleNotFoundError: No module named 'msgspec'"


def library_broken(packages: Path) -> str:
    (packages / "attr").unlink()
    (packages / "attr.py").write_text(BROKEN)
    return f"RuntimeError: broken package ({packages}/attr.py:1)"


def adapter_missing(packages: Path) -> str:
    (packages / "savorylead_platform").unlink()
    return "ModuleNotFoundError: No module named 'savorylead_platform'"


# A daemon that could not load its packages ended with a traceback of many lines, and
# with the exit code of any other failure.
@pytest.mark.parametrize(
    "damage", [built_for_another, library_missing, library_broken, adapter_missing]
)
def test_a_daemon_says_in_one_line_why_its_packages_are_unusable(
    damage: Callable[[Path], str], tmp_path: Path, started: Any
) -> None:
    packages = make_bundle(tmp_path / "deps")
    expected = damage(packages)
    ended = started("pools", {"PYTHONPATH": str(packages)}).wait_until_it_ends()
    (line,) = ended.errors.splitlines()
    assert line.startswith("savoryleadd: ")
    assert expected in line
    assert ended.code == EXIT_UNUSABLE_PACKAGES


@pytest.mark.parametrize("damage", [library_missing, library_broken, adapter_missing])
def test_an_incomplete_folder_is_not_sealed(
    damage: Callable[[Path], str], tmp_path: Path
) -> None:
    packages = make_bundle(tmp_path / "deps")
    expected = damage(packages)
    sealed = seal(packages)
    (line,) = sealed.stderr.splitlines()
    assert line.startswith("seal_bundle: ")
    assert expected in line
    assert sealed.returncode == EXIT_UNUSABLE_PACKAGES
    assert not list(packages.glob("savorylead-bundle.*"))


# A daemon whose address was taken ended with a traceback of many lines.
@pytest.mark.parametrize(
    ("kind", "listener"),
    [
        *(("pools", name) for name in ("callers", "readiness", "peers", "metrics")),
        *(("shards", name) for name in ("callers", "peers")),
    ],
)
def test_a_daemon_says_in_one_line_that_an_address_is_taken(
    kind: str, listener: str, packages: Path, started: Any
) -> None:
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        address = f"{HOST}:{taken.getsockname()[1]}"
        daemon = started(
            kind, {"PYTHONPATH": str(packages)}, listen={listener: address}
        )
        ended = daemon.wait_until_it_ends()
    (line,) = ended.errors.splitlines()
    assert line.startswith(f"savoryleadd: can't listen on {address}: ")
    assert "Address already in use" in line
    assert ended.code == EXIT_FAILURE


# A daemon that was started without a standard output ended before it served.
@pytest.mark.parametrize("closed", ["<&-", ">&-", "2>&-", "<&- >&- 2>&-"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_daemon_serves_without_standard_streams(
    kind: str, closed: str, packages: Path, started: Any
) -> None:
    shell = ["sh", "-c", f'exec "$0" "$@" {closed}']
    daemon = started(kind, {"PYTHONPATH": str(packages)}, prefix=shell)
    daemon.wait_until_it_serves()
