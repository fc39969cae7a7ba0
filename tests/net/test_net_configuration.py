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
def test_what_cannot_be_used_is_named(tmp_path, field, value):
    with controller(tmp_path, **{field: value}) as one:
        said = one.stderr.read()
        assert one.wait(10) == 2 and said.startswith(f"config: {field} ") and said.count("\n") == 1, said


@pytest.mark.parametrize(
    "part, field, named",
    [
        ("specifics", "pushRate", "specifics.pushRate"),
        ("specifics", "period", "specifics.period"),
        ("specifics", "proxyCount", "proxyCount"),
        ("grades", "aim", "grades[0].aim"),
    ],
)
def test_a_figure_that_nothing_can_stand_in_for_is_named(tmp_path, part, field, named):
    """Failure: a channel of 1,000 lines a second, sums each second and a target of 1 s were taken, of some
    other deployment.
    """
    settings = json.loads(json.dumps(CONFIG["settings"]))
    del (settings[part][0] if part == "grades" else settings[part])[field]
    with controller(tmp_path, settings=settings) as one:
        said = one.stderr.read()
        assert (
            one.wait(10) == 2
            and said.startswith("config: settings ")
            and named in said
            and said.count("\n") == 1
        )
