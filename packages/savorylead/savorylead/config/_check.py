"""Checking a whole document."""

from __future__ import annotations

from savorylead.documents import DocumentFault

from ._meaning import meaning_faults
from ._schema import structure_faults


def check_document(raw: object) -> list[DocumentFault]:
    """Return every fault of a cell's document, sorted by path; none if it is valid.

    ``raw`` is what a JSON parser returned. Of a team, queue or other entry whose
    structure is wrong, nothing else is checked.
    """
    broken: set[tuple[str, ...]] = set()
    faults = set()
    for parts, fault in structure_faults(raw):
        broken.add(parts[:2])
        faults.add(fault)
    if isinstance(raw, dict):
        faults.update(meaning_faults(raw, broken))
    return sorted(faults)
