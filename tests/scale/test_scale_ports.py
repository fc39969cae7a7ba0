"""Free ports for listeners that are started a moment later."""

import socket

import pytest

from oatcart.scale import ports


def test_free_ports_are_distinct_and_below_the_range_of_outgoing_connections() -> None:
    outgoing_start = int(ports.OUTGOING_RANGE.read_text().split()[0])
    found = ports.free_ports(50)
    assert len(set(found)) == 50
    assert all(ports.FIRST_PORT <= port < outgoing_start for port in found)


def test_a_port_with_a_listener_is_not_returned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first port drawn has a listener, so the second is returned."""
    first, second = ports.free_ports(2)
    monkeypatch.setattr(ports.SystemRandom, "randrange", lambda *_: next(drawn))
    drawn = iter([first, second])
    with socket.create_server((ports.LOOPBACK, first)):
        assert ports.free_ports(1) == [second]


def test_more_ports_than_can_be_found_raise_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "MAX_ATTEMPTS", 3)
    with pytest.raises(OSError, match="could not find 50 free ports"):
        ports.free_ports(50)
