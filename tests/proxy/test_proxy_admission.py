"""Admission: quotas by share and by rate, and the Retry-After of rejections."""

from http import HTTPStatus
from random import Random

from oatcart.proxy.admission import RETRY_AFTER_MAX_SECONDS, AdmissionControl


def test_rejections_by_share_and_by_rate_have_a_retry_after():
    admission = AdmissionControl(Random(2).uniform)
    rejections = [found for _ in range(10_000) if (found := admission.check_share(0.3))]
    assert abs(len(rejections) - 7000) < 250
    assert {found.status for found in rejections} == {HTTPStatus.SERVICE_UNAVAILABLE} == {503}
    assert min(found.retry_after for found in rejections) >= 1
    assert len({found.retry_after for found in rejections}) > 1
    assert admission.check_share(1.0) is None
    assert admission.check_share(0.0).retry_after == RETRY_AFTER_MAX_SECONDS == 30
    answers = [admission.check_rate(at / 100, "lookup", 20.0) for at in range(1000)]  # 10 s of 100 requests/s
    assert 200 <= answers.count(None) <= 221
    assert {found.status for found in answers if found} == {HTTPStatus.TOO_MANY_REQUESTS} == {429}
    assert admission.check_rate(10.0, "fee", 0.0) is None
    assert admission.check_rate(10.0, "fee", 0.0).retry_after == 30
