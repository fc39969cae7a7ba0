"""Scores of endpoints: the weighted sum of the paper (see docs/design.md), its cutoffs and normalization.

A score is in points, from 0 (worst) to 100 (best). CPU and RAM of the paper are combined into one load here,
and so are bytes sent and received.
"""

from collections import deque
from collections.abc import Collection

from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import error_ratio

# Parts of the weighted sum
LOAD_PART = 0.30
TREND_PART = 0.20
DURATION_PART = 0.20
BYTES_PART = 0.20
ERROR_PART = 0.10

IDLE_LOAD = 10.0  # percent; a load below it scores 100 points
FAST_DURATION_S = 0.2  # mean durations up to it score 100 points
DURATION_PENALTY = 200.0  # points for each second above FAST_DURATION_S
ERROR_PENALTY = 1000.0  # points for an error ratio of 1
NEUTRAL_SCORE = 50.0  # points for a constant load, for bytes (not reported) and without load reports
TREND_SAMPLES = 30  # loads, one per second, that the trend is computed from
MAX_SCORE_GROWTH = 1.35  # maximum factor in one second, so that an idle endpoint is not overloaded
MIN_SCORE_GROWTH = 1.0  # points; a score may always grow by this much in one second


def new_load_history() -> deque[float]:
    """Returns an empty load history, from which the trend is computed."""
    return deque(maxlen=TREND_SAMPLES)


def clamp(points: float) -> float:
    """Limits a score to 0 to 100 points."""
    return min(100.0, max(0.0, points))


def weighted_sum(load: float, load_rise: float, duration: float, error_ratio: float) -> float:
    """Returns the paper's weighted sum of an endpoint's normalized scores, in points.

    `load` in percent, `load_rise` in percentage points over the load history, mean `duration` in seconds,
    `error_ratio`: failed part of the attempts.
    """
    load_score = 100.0 if load < IDLE_LOAD else clamp(100.0 - load)
    trend_score = clamp(NEUTRAL_SCORE - load_rise)
    duration_score = clamp(100.0 - max(0.0, duration - FAST_DURATION_S) * DURATION_PENALTY)
    error_score = clamp(100.0 - error_ratio * ERROR_PENALTY)
    return (
        LOAD_PART * load_score
        + TREND_PART * trend_score
        + DURATION_PART * duration_score
        + BYTES_PART * NEUTRAL_SCORE
        + ERROR_PART * error_score
    )


def rescore(endpoints: Collection[Endpoint], lists_weights: bool) -> None:
    """Sets the score of each ready endpoint.

    Called once a second, the interval of the trend, and for each endpoint list. An endpoint without load
    reports gets the average score. If the endpoint list has nominal weights, a score is multiplied by the
    endpoint's nominal weight divided by the mean one.
    """
    scores: dict[int, float] = {}
    for endpoint in endpoints:
        if endpoint.load is not None and endpoint.answers:
            scores[id(endpoint)] = _score(endpoint)
            endpoint.load_history.append(endpoint.load)
    average = sum(scores.values()) / len(scores) if scores else NEUTRAL_SCORE
    mean_weight = sum(endpoint.nominal_weight for endpoint in endpoints) / max(1, len(endpoints))
    for endpoint in endpoints:
        scale = endpoint.nominal_weight / mean_weight if lists_weights else 1.0
        score = scores.get(id(endpoint), average) * scale
        endpoint.score = min(score, endpoint.score * MAX_SCORE_GROWTH + MIN_SCORE_GROWTH)


def _score(endpoint: Endpoint) -> float:
    load_rise = endpoint.load - endpoint.load_history[0] if endpoint.load_history else 0.0
    duration = endpoint.answer_seconds / endpoint.answers
    return weighted_sum(endpoint.load, load_rise, duration, error_ratio([endpoint]))
