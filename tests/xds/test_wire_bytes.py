"""Bytes and versions of xDS responses stay as recorded.

A renamed class or field must not change what a version is a digest of, or a restarted controller would send
everything again.
"""

from hashlib import blake2b

import pytest

from oatcart.xds import view
from oatcart.xds.encode import Encoder
from oatcart.xds.push import Push
from oatcart.xds.resource_cache import ResourceContent, digest
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

ENDPOINT_A = view.Endpoint("n0", "127.0.0.1", 9000, "a", 40, view.HEALTHY)
ENDPOINT_B = view.Endpoint("n1", "127.0.0.1", 9001, "b", 1, view.DRAINING)
RESOURCES = {
    "cluster": (CLUSTER, view.Cluster("lookup", view.WHOLE)),
    "cluster-spread": (CLUSTER, view.Cluster("lookup", view.SPREAD)),
    "assignment-whole": (
        ENDPOINTS,
        view.Assignment("lookup", view.WHOLE, 250_000, (ENDPOINT_A, ENDPOINT_B)),
    ),
    "assignment-spread": (ENDPOINTS, view.Assignment("lookup", view.SPREAD, 0, (ENDPOINT_A, ENDPOINT_B))),
    "assignment-each": (
        ENDPOINTS,
        view.Assignment("lookup", view.EACH, 0, (), (("a", view.collection_prefix("a", "lookup", "a")),)),
    ),
    "listener": (LISTENER, view.Listener("lookup")),
    "route": (ROUTE, view.Route("lookup", 1, "connect-failure,refused-stream")),
    "member": (MEMBER, view.Member(ENDPOINT_A)),
}
VERSIONS = {
    "cluster": "f89051647e901b91",
    "cluster-spread": "a728ccbd457084d3",
    "assignment-whole": "da0f37d8aaab2712",
    "assignment-spread": "88915c2c55a5c5ca",
    "assignment-each": "1df7580db8156f2e",
    "listener": "3d7c11a55c8aff85",
    "route": "dbcd65a8b30c686b",
    "member": "733e4a52965146d1",
}
BYTES = {
    ("cluster", False): "0845dd33c6726257",
    ("cluster", True): "79afbe1e432eeab4",
    ("cluster-spread", False): "d7b188078e4f9409",
    ("cluster-spread", True): "a2aa2060e60cb790",
    ("assignment-whole", False): "4925556c8ed3f6ff",
    ("assignment-whole", True): "138db7e94cda0345",
    ("assignment-spread", False): "bad9cd7612e3b867",
    ("assignment-spread", True): "a824b13607a35900",
    ("assignment-each", False): "7254a9f304b2ffbf",
    ("assignment-each", True): "708e6e851361e125",
    ("listener", False): "62fcc3f199c6c756",
    ("listener", True): "3f99a8baf2410651",
    ("route", False): "1eadf4160789f60a",
    ("route", True): "351d98e9540bc4a3",
    ("member", False): "73b1e3bcc6c3f00f",
    ("member", True): "c07e67fcb51b21fd",
}


@pytest.mark.parametrize("name", RESOURCES)
def test_versions_stay(name):
    assert digest(RESOURCES[name][1]) == VERSIONS[name]


@pytest.mark.parametrize("name, delta", [(name, delta) for name in RESOURCES for delta in (False, True)])
def test_bytes_stay(name, delta):
    resource_type, body = RESOURCES[name]
    content = ResourceContent(1, "v1", body, frozenset())
    push = Push("l.1", "v0", ((name, content),), ("gone",) if delta else (), False)
    message = Encoder().push(delta, resource_type, push)
    assert blake2b(message, digest_size=8).hexdigest() == BYTES[name, delta]
