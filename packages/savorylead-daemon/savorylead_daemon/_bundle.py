"""The folder with all packages of a daemon, and what may be imported beside it.

The folder is a bundle if it has a manifest, which ``seal_bundle`` writes. This module
runs before any other package of the daemon, on interpreters that may be too old for
them, and so imports only modules that each interpreter loads at its start.
"""

from __future__ import annotations

import importlib
import os
import sys
from importlib.machinery import (
    EXTENSION_SUFFIXES,
    BuiltinImporter,
    FrozenImporter,
    PathFinder,
)
from types import ModuleType, TracebackType

from savorylead_daemon._start_error import UnusablePackagesError

#: The folder that holds this package.
FOLDER = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MANIFEST = "savorylead-bundle.txt"
OLDEST_PYTHON = (3, 11)


def describe_interpreter() -> str:
    """Return what compiled packages depend on: "cpython-311-x86_64-linux-gnu"."""
    return EXTENSION_SUFFIXES[0].lstrip(".").partition(".")[0]


def manifest_path(folder: str) -> str:
    """Return the path of the manifest: the kinds of interpreters, one a line."""
    return os.path.join(folder, MANIFEST)


def use_bundle(folder: str = FOLDER) -> None:
    """Import from ``folder`` and the standard library only, if it is a bundle.

    A library may import an optional package whenever it is there. If the interpreter
    brings one that is broken, or of a release that doesn't fit, the library fails.
    Raises UnusablePackagesError for an interpreter that can't run them.
    """
    if sys.version_info < OLDEST_PYTHON:
        oldest = ".".join(map(str, OLDEST_PYTHON))
        raise UnusablePackagesError(
            f"{_this_interpreter()} is older than Python {oldest}"
        )
    try:
        with open(manifest_path(folder), encoding="utf-8") as file:
            built_for = file.read().split()
    except FileNotFoundError:
        return
    except OSError as exc:
        raise UnusablePackagesError(f"can't read the manifest: {exc}") from exc
    if describe_interpreter() not in built_for:
        raise UnusablePackagesError(
            f"the packages in {folder} were built for {', '.join(built_for)}, not for "
            f"{_this_interpreter()}; build them with this interpreter"
        )
    _restrict_imports(folder)


def load_module(name: str) -> ModuleType:
    """Import a module; raises UnusablePackagesError if that fails in any way."""
    try:
        return importlib.import_module(name)
    except Exception as exc:
        reason = f"{type(exc).__name__}: {exc} ({_place_of_error(exc.__traceback__)})"
        raise UnusablePackagesError(
            f"can't load {name} with the packages in {FOLDER}: {reason}"
        ) from exc


def _place_of_error(traceback: TracebackType | None) -> str:
    place = "unknown place"
    while traceback is not None:
        place = f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return place


def _this_interpreter() -> str:
    release = ".".join(map(str, sys.version_info[:3]))
    return f"{describe_interpreter()} (Python {release}, {sys.executable})"


def _restrict_imports(folder: str) -> None:
    """Remove foreign folders, import hooks, and the modules that came from them."""
    former = [entry for entry in sys.path if entry]
    kept = [*filter(_is_standard_library, former), folder]
    foreign = [
        name
        for name, module in sys.modules.items()
        if name != "__main__" and _is_foreign(module, former, kept)
    ]
    for name in foreign:
        del sys.modules[name]
    sys.path[:] = kept
    sys.meta_path[:] = [BuiltinImporter, FrozenImporter, PathFinder]


def _is_standard_library(entry: str) -> bool:
    """Return whether an entry of the import path has the interpreter's own modules."""
    archive = f"python{sys.version_info[0]}{sys.version_info[1]}.zip"
    library = os.path.realpath(os.path.dirname(os.__file__))
    return (
        os.path.basename(entry) in ("lib-dynload", archive)
        or os.path.realpath(entry) == library
    )


def _is_foreign(module: object, former: list[str], kept: list[str]) -> bool:
    """Return whether any part of a module was found outside of the kept folders.

    Site packages may lie below the standard library, so the innermost folder decides.
    """
    locations = list(getattr(module, "__path__", ()))
    file = getattr(module, "__file__", None)
    if not locations and isinstance(file, str):
        locations = [file]
    for location in locations:
        around = [e for e in (*former, *kept) if location.startswith(e + os.sep)]
        if not around or max(around, key=len) not in kept:
            return True
    return False
