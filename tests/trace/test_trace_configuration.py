"""Tests of the settings file of traces."""

import pytest

from oatcart.trace.configuration import InvalidConfigurationError, TraceSettings, read
from oatcart.trace.write_policy import Limits


def test_the_keys_of_the_file_set_the_limits(tmp_path):
    path = tmp_path / "t.yaml"
    path.write_text("folder: x\nfile_size: 1MiB\nbudget: 2MiB\nfile_for: 5m\n")
    assert read(path) == TraceSettings("x", Limits(1 << 20, 300.0, 2 << 20))
    path.write_text("folder: x\nroom: 1000\n")
    assert read(path) == TraceSettings("x", Limits(max_queued_records=1000))


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("file_size: 64\n", "t.yaml:1: file_size: 64 has no unit"),
        ("room: 1000\n", "folder is missing"),
        ("folder: x\nbudget: 1MiB\n", "t.yaml:2: budget: expected at least file_size"),
        ("folder: x\nrom: 5\n", "t.yaml:2: rom is not known; did you mean room?"),
        ("", "is not a map of keys"),
    ],
)
def test_a_fault_in_the_file_is_reported_with_its_line(tmp_path, text, fault):
    path = tmp_path / "t.yaml"
    path.write_text(text)
    with pytest.raises(InvalidConfigurationError) as error:
        read(path)
    assert fault in str(error.value)
