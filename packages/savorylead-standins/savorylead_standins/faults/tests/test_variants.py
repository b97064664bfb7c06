"""Each deliberately broken variant is caught by its checker."""

import pytest

from savorylead_standins.faults import VARIANTS


@pytest.mark.parametrize("variant", VARIANTS, ids=lambda variant: variant.name)
def test_broken_variant_is_caught(variant):
    assert variant.checker in variant.caught_by()
