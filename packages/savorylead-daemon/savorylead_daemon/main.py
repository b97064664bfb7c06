"""Entry point of savoryleadd.

Nothing else of the daemon is imported before its bundle is in use, since a foreign
package of the interpreter could take the place of a library.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from savorylead_daemon._bundle import load_module, use_bundle
from savorylead_daemon._start_error import StartError


def main(argv: Sequence[str] | None = None) -> None:
    """Run the daemon until it is stopped; always raises SystemExit."""
    try:
        use_bundle()
        load_module("savorylead_daemon._command_line").run_command(argv)
    except StartError as exc:
        print(f"savoryleadd: {exc}", file=sys.stderr)
        raise SystemExit(exc.exit_code) from exc


if __name__ == "__main__":
    main()
