"""The script that writes other deployments for the operators' bench, on a site file of this test."""

import pytest

from deploy.sites import variants

SITE = """name = "one"
[net]
zones = ["a"]
[[tier.kind]]
name = "big"
cores = 3
[[class]]
name = "read"
share = [0.5, 0.6]
[[class]]
name = "write"
share = [0.4, 0.5]
"""


def test_changes_apply_to_their_section_alone(monkeypatch):
    changes = {
        ("net", "zones"): '["x", "y"]',
        ("kind big", "cores"): "9",
        ("class read", "share"): None,
        "more": "# end\n",
    }
    monkeypatch.setattr(variants, "VARIANTS", {"two": changes})
    assert (
        variants.apply_variant(SITE, "two")
        == """name = "two"
[net]
zones = ["x", "y"]
[[tier.kind]]
name = "big"
cores = 9
[[class]]
name = "write"
share = [0.4, 0.5]
# end
"""
    )


def test_a_change_that_matches_nothing_raises_an_error_that_names_it(monkeypatch):
    monkeypatch.setattr(variants, "VARIANTS", {"two": {("net", "zone"): "1"}})
    with pytest.raises(LookupError, match=r"\('net', 'zone'\)"):
        variants.apply_variant(SITE, "two")
