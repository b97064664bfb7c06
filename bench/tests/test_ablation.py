"""Every mechanism can still be switched off."""

from __future__ import annotations

import ast
import shutil
from pathlib import Path

import pytest
from bench.ablation import SWITCHES, SwitchError, switch_off

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("switch", SWITCHES, ids=[s.name for s in SWITCHES])
def test_a_switch_fits_the_code(switch, tmp_path):
    copied = tmp_path / switch.path
    copied.parent.mkdir(parents=True)
    shutil.copy(ROOT / switch.path, copied)
    switch_off(switch.name, tmp_path)
    assert copied.read_text() != (ROOT / switch.path).read_text()
    ast.parse(copied.read_text())
    if switch.text not in switch.without:
        with pytest.raises(SwitchError):
            switch_off(switch.name, tmp_path)
