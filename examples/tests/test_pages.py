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
