"""Links between the pages lead somewhere."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_link_of_a_page_leads_to_a_file(page):
    for target in LINK.findall(page.read_text()):
        assert (page.parent / target).exists(), target


@pytest.mark.parametrize("folder", ["operations", "design"])
def test_the_operators_page_leads_to_every_page_of_a_matter(folder):
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    names = [path.name for path in (ROOT / "docs" / folder).glob("*.md")]
    assert [name for name in names if f"({folder}/{name})" not in page] == []
