"""Rendezvous hashing: computes a key for each pair of a controller and an endpoint. Pairs with smaller keys
are assigned first.

A pair's key is u / weight, where u in (0, 1] is derived from the hashes of controller, endpoint and seed.
Selecting the endpoints with the smallest keys is priority sampling (Duffield, Lund and Thorup, 2007): the
probability of an endpoint is about proportional to its weight, and whether it is selected depends only on the
endpoints next to it in the controller's order.
"""

import numpy
import xxhash

# The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
_FIRST_MULTIPLIER = numpy.uint64(0xBF58476D1CE4E5B9)
_SECOND_MULTIPLIER = numpy.uint64(0x94D049BB133111EB)
_FIRST_SHIFT = numpy.uint64(30)
_SECOND_SHIFT = numpy.uint64(27)
_THIRD_SHIFT = numpy.uint64(31)
# The fraction is made of the upper 53 bits of a hash, the precision of a float64.
_FRACTION_SHIFT = 11
_FRACTION_UNIT = 2.0**-53
_SEED_MASK = 0xFFFFFFFFFFFFFFFF

# Hashed with the names: another value would move every assignment of a running fleet.
CONTROLLER_KIND = "viewer"
ENDPOINT_KIND = "member"


def name_hash(kind: str, name: str, seed: int) -> int:
    """The 64-bit hash of a name; `kind` makes a controller and an endpoint of the same name differ."""
    return xxhash.xxh3_64_intdigest(f"{kind}\0{name}".encode(), seed & _SEED_MASK)


def unit_hash(kind: str, name: str, seed: int) -> float:
    """A pseudorandom number from 0 to below 1, derived from a name."""
    return (name_hash(kind, name, seed) >> _FRACTION_SHIFT) * _FRACTION_UNIT


def pair_keys(
    controller_hashes: numpy.ndarray, endpoint_hashes: numpy.ndarray, weights: numpy.ndarray
) -> numpy.ndarray:
    """The keys of pairs. The arrays (uint64, uint64, float64) are broadcast against each other."""
    mixed = controller_hashes ^ endpoint_hashes
    mixed = (mixed ^ (mixed >> _FIRST_SHIFT)) * _FIRST_MULTIPLIER
    mixed = (mixed ^ (mixed >> _SECOND_SHIFT)) * _SECOND_MULTIPLIER
    mixed ^= mixed >> _THIRD_SHIFT
    fractions = ((mixed >> numpy.uint64(_FRACTION_SHIFT)).astype(numpy.float64) + 1.0) * _FRACTION_UNIT
    return fractions / weights
