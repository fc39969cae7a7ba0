"""Admission: quotas by share and by rate, and when a rejected client may return."""

from random import Random

from oatcart.proxy.admission import STATUS_OVERLOADED, STATUS_RATE_LIMITED, AdmissionControl


def test_levels_by_share_and_by_rate_say_when_to_come_back():
    one = AdmissionControl(Random(2).uniform)
    denied = [found for _ in range(10_000) if (found := one.check_share(0.3))]
    assert abs(len(denied) - 7000) < 250 and {found.status for found in denied} == {STATUS_OVERLOADED}
    assert (
        min(found.retry_after for found in denied) >= 1 and len({found.retry_after for found in denied}) > 1
    )
    assert one.check_share(1.0) is None and one.check_share(0.0).retry_after == 30
    came = [one.check_rate(at / 100, "lookup", 20.0) for at in range(1000)]  # ten seconds of 100 a second
    assert 200 <= came.count(None) <= 221 and {found.status for found in came if found} == {
        STATUS_RATE_LIMITED
    }
    assert one.check_rate(10.0, "fee", 0.0) is None and one.check_rate(10.0, "fee", 0.0).retry_after == 30
