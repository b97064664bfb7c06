"""Prints results as text or as JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, TextIO

from savorylead.contracts import UNLIMITED


class Column(NamedTuple):
    """One column of a table."""

    title: str
    #: Path of the field in the row, outermost name first.
    field: tuple[str, ...]
    #: Divisor of a numeric value; 0 prints the value unchanged.
    divisor: int = 0


class Printer:
    """Writes a result as a table or a sentence, or as a single JSON document."""

    def __init__(self, as_json: bool, out: TextIO, err: TextIO) -> None:
        self._as_json = as_json
        self._out = out
        self._err = err

    def result(self, document: Any, sentence: str) -> None:
        """Print the sentence, or the document if the output is JSON."""
        if self._as_json:
            self._print_json(document)
        else:
            print(sentence, file=self._out)

    def table(
        self, document: Any, rows: Iterable[Any], columns: Sequence[Column]
    ) -> None:
        """Print a table of the rows, or the document if the output is JSON."""
        if self._as_json:
            self._print_json(document)
            return
        lines = [[column.title for column in columns]]
        lines += [[_format_cell(row, column) for column in columns] for row in rows]
        for line in _aligned(lines):
            print(line, file=self._out)

    def note(self, text: str) -> None:
        """Print a message that is not part of the result to standard error."""
        print(text, file=self._err)

    def failure(self, code: str, detail: str, **fields: Any) -> None:
        """Print the error of a failed command as JSON, or as text to standard error."""
        if self._as_json:
            self._print_json({"error": {"code": code, "detail": detail, **fields}})
            return
        print(f"savoryctl: {detail}", file=self._err)
        for name, value in fields.items():
            if isinstance(value, list):
                for item in value:
                    print(f"  {item}", file=self._err)
            else:
                print(f"  {name}: {value}", file=self._err)

    def _print_json(self, document: Any) -> None:
        print(json.dumps(document, ensure_ascii=False), file=self._out)


def _format_cell(row: Any, column: Column) -> str:
    value = row
    for field in column.field:
        value = value.get(field, "") if isinstance(value, dict) else ""
    if column.divisor and isinstance(value, int | float):
        if value >= UNLIMITED:
            return "-"
        value = value / column.divisor
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return _format_number(value)
    return _escape_unprintable(str(value)) or "-"


def _format_number(value: float) -> str:
    """Format a number with up to three decimals and without an exponent."""
    return f"{value:.3f}".rstrip("0").rstrip(".")


def _escape_unprintable(text: str) -> str:
    """Escape unprintable characters, which could control the terminal."""
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)


def _aligned(lines: list[list[str]]) -> Iterable[str]:
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    for cells in lines:
        padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        yield "  ".join(padded).rstrip()
