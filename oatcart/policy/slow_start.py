"""Slow start: the ramp of an endpoint's weight, and the load that a warming-up endpoint sustains.

A fresh endpoint is idle and scores best, so without limits all proxies together would overload it.
"""

from collections.abc import Iterable
from math import inf

from oatcart.model import WarmUpLimits
from oatcart.policy.state import Endpoint
from oatcart.policy.telemetry import error_ratio, median

RAMP_START_SHARE = 0.25  # of its weight that an endpoint has at the start of its ramp
RAMP_S = 5.0  # length of the ramp
MAX_RAMP_WARM_UPS = 2.0  # warm-ups that the ramp after a start lasts at most
# Of the load that overloads a warming endpoint: proxies use the power of two choices, and other controllers'
# proxies send to it too; each leaves a half
SAFE_LOAD_SHARE = 0.25
MAX_DRAW_MULTIPLE = 2.5  # times its present capacity that draws may send to a warming endpoint
POOL_MARGIN = 1.2  # times the present capacity of a mostly warming pool that is admitted
MIN_SUCCESS_RATIO = 0.05  # success ratio that is assumed where nothing is reported, and the least


def ramp(elapsed: float) -> float:
    """Returns the share of its weight that an endpoint gets `elapsed` seconds after its ramp began."""
    return min(1.0, RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * max(0.0, elapsed) / RAMP_S)


def ramp_start(started_at: float, limits: WarmUpLimits) -> float:
    """Returns when the ramp of a started endpoint counts as begun (s): a short warm-up shortens the ramp."""
    return started_at - max(0.0, RAMP_S - MAX_RAMP_WARM_UPS * (limits.duration or inf))


def warm_fraction(endpoint: Endpoint, limits: WarmUpLimits, now: float) -> float:
    """Returns the share of its full capacity that an endpoint has for certain, however slowly it warms up."""
    if not (endpoint.started_at and limits.duration):
        return 1.0
    initial = limits.initial_fraction
    elapsed = max(0.0, now - endpoint.started_at)
    return min(1.0, initial + (1.0 - initial) * elapsed / limits.duration)


def success_ratio(endpoints: Iterable[Endpoint]) -> float:
    """Returns the part of the attempts at a pool that succeed, no less than what is assumed of an unknown."""
    return max(MIN_SUCCESS_RATIO, 1.0 - error_ratio(endpoints, 1.0))


def admissible_share(warm_fractions: list[float], success: float, filled: float, share: float) -> float:
    """Returns the share of the offered work that a pool is given.

    `filled`: endpoints that the offered work would fill; `share`: what load shedding admits. A pool where
    under half of these endpoints are warm gets no more than its present capacity.
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
    """Lowers in `weights` what endpoints get that are warming up, and removes those drawn too often.

    `filled`: endpoints of the pool that the admitted work fills. Local and remote endpoints are compared
    each with their like, as only proxies of their own zone draw local ones. A weight is limited to what its
    endpoint sustains beside the median warm one.
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
    """Removes warming endpoints that two draws by weight pick more often than they sustain.

    The second draw is from what the first left; each endpoint that is removed makes the others' part larger,
    so this repeats until nothing has to go.
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
