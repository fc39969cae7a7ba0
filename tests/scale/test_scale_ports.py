"""Ports for listeners that are started a moment later."""

import socket

import pytest

from oatcart.scale import ports


def test_they_are_distinct_and_below_the_range_of_outgoing_connections() -> None:
    below = int(ports.OUTGOING_RANGE.read_text().split()[0])
    found = ports.free_ports(50)
    assert len(set(found)) == 50
    assert all(ports.FIRST_PORT <= port < below for port in found)


def test_a_port_with_a_listener_is_not_given(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a listener of the first of two ports."""
    first, second = ports.free_ports(2)
    monkeypatch.setattr(ports.SystemRandom, "randrange", lambda *_: next(drawn))
    drawn = iter([first, second])
    with socket.create_server((ports.LOOPBACK, first)):
        assert ports.free_ports(1) == [second]


def test_too_many_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "MAX_ATTEMPTS", 3)
    with pytest.raises(OSError, match="no 50 free ports"):
        ports.free_ports(50)
