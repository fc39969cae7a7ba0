"""Slow start: the ramp of an endpoint's weight, and the load that a warming-up endpoint sustains.

A newly started endpoint is idle and gets the best score, so without limits the proxies would overload it.
"""

from collections.abc import Iterable
from math import inf

from oatcart.model import WarmUpLimits
from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import error_ratio, median

RAMP_START_SHARE = 0.25  # share of its weight that an endpoint has at the start of its ramp
RAMP_S = 5.0  # duration of the ramp
MAX_RAMP_WARM_UPS = 2.0  # the ramp after a start lasts at most this many warm-ups
# Safe share of the load at which a warming-up endpoint fails: a half because proxies use the power of two
# choices, and half of that because proxies of other controllers use the endpoint too
SAFE_LOAD_SHARE = 0.25
MAX_DRAW_MULTIPLE = 2.5  # multiple of its sustained load that random draws may send to an endpoint
POOL_MARGIN = 1.2  # load admitted to a mostly warming-up pool, as a multiple of its present capacity
MIN_SUCCESS_RATIO = 0.05  # lower bound of the success ratio, and its value without load reports


def ramp(elapsed: float) -> float:
    """Returns the share of its weight that an endpoint has `elapsed` seconds after the start of its ramp."""
    return min(1.0, RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * max(0.0, elapsed) / RAMP_S)


def ramp_start(started_at: float, limits: WarmUpLimits) -> float:
    """Returns the time (s) from which a started endpoint's ramp is counted; earlier for a short warm-up."""
    return started_at - max(0.0, RAMP_S - MAX_RAMP_WARM_UPS * (limits.duration or inf))


def warm_fraction(endpoint: Endpoint, limits: WarmUpLimits, now: float) -> float:
    """Returns the share of its full capacity that an endpoint has at least while it warms up."""
    if not (endpoint.started_at and limits.duration):
        return 1.0
    initial = limits.initial_fraction
    elapsed = max(0.0, now - endpoint.started_at)
    return min(1.0, initial + (1.0 - initial) * elapsed / limits.duration)


def success_ratio(endpoints: Iterable[Endpoint]) -> float:
    """Returns the part of the attempts at a pool that succeed, at least MIN_SUCCESS_RATIO."""
    return max(MIN_SUCCESS_RATIO, 1.0 - error_ratio(endpoints, 1.0))


def admissible_share(warm_fractions: list[float], success: float, filled: float, share: float) -> float:
    """Returns the share of the offered work that a pool is sent.

    `filled`: number of endpoints that the offered work would fill; `share`: the share that load shedding
    admits. If fewer than half of these endpoints are warm, the pool is sent no more than its present
    capacity times POOL_MARGIN.
    """
    warm = sum(fraction >= 1.0 for fraction in warm_fractions)
    capacity = POOL_MARGIN * sum(warm_fractions) * success
    if 2 * warm < min(filled, len(warm_fractions)):
        return min(share, capacity / filled)
    return share


def limit_warming_weights(
    pool: dict[int, Endpoint],
    weights: dict[int, int],
    local_zones: set[int],
    filled: float,
    limits: WarmUpLimits,
    now: float,
) -> None:
    """Limits the `weights` of endpoints that are warming up, and removes those that are drawn too often.

    `filled`: number of endpoints of the pool that the admitted work fills. A weight is limited to the load
    that its endpoint sustains, relative to the median warm endpoint. Local endpoints are compared with local
    ones and remote with remote ones, as only proxies of their own zone draw local ones.
    """
    safe_multiple = limits.overload_multiple * SAFE_LOAD_SHARE * success_ratio(pool.values())
    max_draw_shares: dict[int, float] = {}
    warm_weights: list[int] = []
    for local in False, True:
        group = {
            number: endpoint for number, endpoint in pool.items() if (endpoint.zone in local_zones) == local
        }
        warm = [
            weights[number]
            for number, endpoint in group.items()
            if not endpoint.ejected and warm_fraction(endpoint, limits, now) >= 1.0
        ]
        reference_weight = median(warm) if warm else 100.0
        expected = filled * len(group) / len(pool) if local else filled
        load = max(1, len(warm), expected)
        for number, endpoint in group.items():
            sustained = safe_multiple * warm_fraction(endpoint, limits, now)
            if sustained < safe_multiple:
                weights[number] = max(1, min(weights[number], round(sustained * reference_weight)))
                max_draw_shares[number] = (MAX_DRAW_MULTIPLE * sustained + 2 / reference_weight) / load
        warm_weights += warm
    if warm_weights:
        _remove_drawn_too_often(pool, weights, max_draw_shares)


def _remove_drawn_too_often(
    pool: dict[int, Endpoint], weights: dict[int, int], max_draw_shares: dict[int, float]
) -> None:
    """Removes warming-up endpoints that two random draws by weight pick more often than they sustain.

    The second draw excludes the endpoint of the first. Each removal raises the share of the others, so this
    repeats until no endpoint is drawn too often.
    """
    removed = True
    while removed:
        active = {number: weight for number, weight in weights.items() if not pool[number].ejected}
        total = sum(active.values())
        odds = {number: weight / max(1, total - weight) for number, weight in active.items()}
        draws = 1.0 + sum(odds.values())
        drawn = {
            number: active[number] / total * (draws - odds[number])
            for number in max_draw_shares
            if number in active
        }
        removed = [number for number, share in drawn.items() if share > max_draw_shares[number]]
        for number in removed:
            del weights[number]
