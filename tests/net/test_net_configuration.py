"""Invalid configurations: the field is named, the exit code is 2."""

import json

import pytest
from controller_process import CONFIG, controller


@pytest.mark.parametrize(
    "field, value",
    [
        ("listen", None),
        ("listen", "nowhere"),
        ("listen", "192.0.2.1:5000"),
        ("seed", "?"),
        ("discovery", "a:b"),
        ("settings", 3),
        ("settings", {"grades": 1}),
        ("known", {}),
        ("limits", {}),
    ],
)
def test_invalid_field_is_named(tmp_path, field, value):
    with controller(tmp_path, **{field: value}) as process:
        log = process.stderr.read()
        assert process.wait(10) == 2 and log.startswith(f"config: {field} ") and log.count("\n") == 1, log


@pytest.mark.parametrize(
    "section, field, named",
    [
        ("specifics", "pushRate", "specifics.pushRate"),
        ("specifics", "period", "specifics.period"),
        ("specifics", "proxyCount", "proxyCount"),
        ("grades", "aim", "grades[0].aim"),
    ],
)
def test_missing_number_without_default_is_named(tmp_path, section, field, named):
    """Numbers that depend on the deployment have no default values."""
    settings = json.loads(json.dumps(CONFIG["settings"]))
    del (settings[section][0] if section == "grades" else settings[section])[field]
    with controller(tmp_path, settings=settings) as process:
        log = process.stderr.read()
        assert (
            process.wait(10) == 2
            and log.startswith("config: settings ")
            and named in log
            and log.count("\n") == 1
        )
