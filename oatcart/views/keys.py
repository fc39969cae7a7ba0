"""Rendezvous keys: one number for each pair of a conductor and a node; the smaller, the more the pair is
wanted.

A pair's key is u / size, where u in (0, 1] is drawn from the hashes of conductor, node and seed. Taking the
nodes with the smallest keys is priority sampling (Duffield, Lund and Thorup, 2007): a node is taken about in
proportion to its size, and whether it is taken depends on no node but those around it in the conductor's own
order.
"""

import numpy
import xxhash

_FIRST_MULTIPLIER = numpy.uint64(0xBF58476D1CE4E5B9)
_SECOND_MULTIPLIER = numpy.uint64(0x94D049BB133111EB)
_FIRST_SHIFT = numpy.uint64(30)
_SECOND_SHIFT = numpy.uint64(27)
_THIRD_SHIFT = numpy.uint64(31)
_FRACTION_SHIFT = numpy.uint64(11)
_FRACTION_UNIT = 2.0**-53


def name_hash(kind: str, name: str, seed: int) -> int:
    """The 64-bit hash of a name; `kind` keeps conductors and nodes of one name apart."""
    return xxhash.xxh3_64_intdigest(f"{kind}\0{name}".encode(), seed & 0xFFFFFFFFFFFFFFFF)


def unit_hash(kind: str, name: str, seed: int) -> float:
    """A number in [0, 1) drawn from a name."""
    return (name_hash(kind, name, seed) >> 11) * _FRACTION_UNIT


def pair_keys(
    controller_hashes: numpy.ndarray, endpoint_hashes: numpy.ndarray, weights: numpy.ndarray
) -> numpy.ndarray:
    """Keys of pairs; the arrays (uint64, uint64, float64) are broadcast against each other."""
    mixed = controller_hashes ^ endpoint_hashes
    mixed = (mixed ^ (mixed >> _FIRST_SHIFT)) * _FIRST_MULTIPLIER
    mixed = (mixed ^ (mixed >> _SECOND_SHIFT)) * _SECOND_MULTIPLIER
    mixed ^= mixed >> _THIRD_SHIFT
    fractions = ((mixed >> _FRACTION_SHIFT).astype(numpy.float64) + 1.0) * _FRACTION_UNIT
    return fractions / weights
