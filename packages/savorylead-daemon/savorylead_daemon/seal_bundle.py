"""Makes the folder of this package a bundle.

A build runs ``python -m savorylead_daemon.seal_bundle ADAPTER`` once all packages are
in the folder. The platform's adapter is loaded like the daemon itself, which shows
whether the folder lacks a package.
"""

from __future__ import annotations

import argparse
import compileall
import contextlib
import errno
import os
import shutil
import sys
import tempfile
from collections import defaultdict
from collections.abc import Iterable, Sequence
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path
from py_compile import PycInvalidationMode

from savorylead_daemon._bundle import (
    FOLDER,
    describe_interpreter,
    load_module,
    manifest_path,
    use_bundle,
)
from savorylead_daemon._start_error import StartError

#: What a daemon loads when it starts, for each kind of settings.
ENTRY_MODULES = (
    "savorylead_daemon._command_line",
    "savorylead_daemon.composition",
    "savorylead_daemon.pool.composition",
)
#: What stands for the kind in names of modules that each interpreter loads.
_ANY_INTERPRETER = {"", "abi3"}


def compile_packages(folder: Path) -> None:
    """Write bytecode that stays valid when the folder is copied.

    Usual bytecode has the time of its source, which a copy may change. A daemon that
    may not write would then compile every module at each start.
    """
    compileall.compile_dir(
        folder,
        force=True,
        quiet=2,
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )


def extension_modules(folder: Path) -> Iterable[str]:
    """Return the names of the compiled modules that this interpreter loads."""
    for path in sorted(folder.rglob("*.so")):
        base = path.name.partition(".")[0]
        if path.name.removeprefix(base) in EXTENSION_SUFFIXES:
            yield ".".join([*path.parent.relative_to(folder).parts, base])


def supported_interpreters(folder: Path) -> Sequence[str]:
    """Return the kinds of interpreters that every compiled module is there for."""
    kinds: dict[Path, set[str]] = defaultdict(set)
    for path in folder.rglob("*.so"):
        base, _, kind = path.stem.partition(".")
        kinds[path.with_name(base)].add(kind)
    of_one_kind = [found for found in kinds.values() if not found & _ANY_INTERPRETER]
    common = set.intersection(*of_one_kind) if of_one_kind else set()
    return sorted({describe_interpreter(), *common})


def seal(folder: Path, adapters: Sequence[str]) -> None:
    """Compile the packages, write the manifest and load all of the daemon's modules.

    Raises StartError, and leaves no manifest, if a module can't be loaded.
    """
    compile_packages(folder)
    manifest = Path(manifest_path(os.fspath(folder)))
    manifest.write_text("\n".join(supported_interpreters(folder)) + "\n")
    try:
        use_bundle(os.fspath(folder))
        for name in (*ENTRY_MODULES, *adapters, *extension_modules(folder)):
            load_module(name)
    except StartError:
        manifest.unlink()
        raise


def install(folder: Path, place: Path) -> None:
    """Move a sealed folder to ``place``, and delete the one that was there.

    Daemons may start from ``place`` meanwhile, and never find a part of a folder.
    Another build may do the same; the later one stays.
    """
    while True:
        former = Path(tempfile.mkdtemp(prefix="former-", dir=folder.parent), place.name)
        with contextlib.suppress(FileNotFoundError):
            place.rename(former)
        try:
            folder.rename(place)
        except OSError as exc:
            if exc.errno not in (errno.ENOTEMPTY, errno.EEXIST):
                raise
            # Another build took the place after the former folder had left it.
        else:
            return
        finally:
            shutil.rmtree(former.parent)


def main(argv: Sequence[str] | None = None) -> None:
    """Seal the folder of this package; raises SystemExit if it is incomplete."""
    parser = argparse.ArgumentParser(prog="seal_bundle", description=seal.__doc__)
    parser.add_argument("adapters", nargs="*", metavar="ADAPTER")
    parser.add_argument(
        "--install",
        type=Path,
        metavar="PLACE",
        help="move the sealed folder there, in place of what is there",
    )
    args = parser.parse_args(argv)
    try:
        seal(Path(FOLDER), args.adapters)
        if args.install is not None:
            install(Path(FOLDER), args.install)
    except StartError as exc:
        print(f"seal_bundle: {exc}", file=sys.stderr)
        raise SystemExit(exc.exit_code) from exc


if __name__ == "__main__":
    main()
