"""Requests of clients and their load reports as plain tuples; what cannot be read is refused with the field's
name.
"""

from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from oatcart.xds import client_load_reports, view
from oatcart.xds.client_state import Ask, Node
from oatcart.xds.encode import TYPES
from oatcart.xds.limits import RequestRejectedError

KINDS = {url: kind for kind, url in TYPES.items()}
GRPC = "gRPC"  # begins the user agent of gRPC's own clients
# node.metadata: how it wants them
SHAPE_KEY, SHAPES = "oatcart.endpoints", {view.WHOLE, view.EACH, view.SPREAD}
WORDS_MOST = 1000  # letters of a client's refusal that are kept


def kind_of(url: str) -> str:
    """A type by its URL; raises RequestRejectedError."""
    if url in KINDS:
        return KINDS[url]
    if "/" not in url or len(url) > 300:
        raise RequestRejectedError("INVALID_ARGUMENT", f"type_url: {url[:80]!r} is no type's URL")
    raise RequestRejectedError(
        "UNIMPLEMENTED", f"type_url: {url} is not served; served are {', '.join(sorted(KINDS))}"
    )


def node_of(node: base_pb2.Node) -> Node | None:
    """Who asks. Its shape is what its metadata name, else gRPC's own clients get theirs, all others whole
    ones.
    """
    if not node.id and not node.HasField("locality"):
        return None
    shape = view.SPREAD if node.user_agent_name.startswith(GRPC) else view.WHOLE
    if SHAPE_KEY in node.metadata.fields:
        shape = node.metadata.fields[SHAPE_KEY].string_value
        if shape not in SHAPES:
            raise RequestRejectedError(
                "INVALID_ARGUMENT",
                f"node.metadata: {SHAPE_KEY} {shape[:80]!r} is none of {', '.join(sorted(SHAPES))}",
            )
    return Node(node.id, node.locality.zone, shape)


def request(delta: bool, data: bytes, only: str | None = None) -> Ask:
    """A discovery request of either protocol; on a stream for one type the type may be left out."""
    try:
        message = (
            discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        ).FromString(data)
    except DecodeError:
        raise RequestRejectedError("INVALID_ARGUMENT", "a request that cannot be read") from None
    kind = kind_of(message.type_url) if message.type_url or only is None else only
    refusal = None
    if message.HasField("error_detail"):
        refusal = (
            message.error_detail.message[:WORDS_MOST] or f"status {message.error_detail.code}, without words"
        )
    node = node_of(message.node)
    if delta:
        return Ask(
            kind,
            tuple(message.resource_names_subscribe),
            tuple(message.resource_names_unsubscribe),
            dict(message.initial_resource_versions),
            message.response_nonce,
            refusal,
            node,
        )
    return Ask(
        kind,
        tuple(message.resource_names),
        nonce=message.response_nonce,
        refusal=refusal,
        node=node,
        version=message.version_info,
    )


def _seconds(span: object) -> float:
    return span.seconds + span.nanos / 1e9


def _metrics(stats: object) -> dict[str, tuple[int, float]]:
    found = {
        one.metric_name: (one.num_requests_finished_with_metric, one.total_metric_value)
        for one in stats.load_metric_stats
    }
    for name in ("cpu_utilization",):
        if name in stats.DESCRIPTOR.fields_by_name and stats.HasField(name):
            one = getattr(stats, name)
            found.setdefault(name, (one.num_requests_finished_with_metric, one.total_metric_value))
    return found


def _tally(stats: object) -> client_load_reports.RequestCounts:
    return client_load_reports.RequestCounts(
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_issued_requests,
        stats.total_requests_in_progress,
        _metrics(stats),
    )


def report(data: bytes) -> tuple[Node | None, list[client_load_reports.ClusterLoadReport]]:
    """A load report: who sends it, and per cluster what it met at each node and what it turned away."""
    try:
        message = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        raise RequestRejectedError("INVALID_ARGUMENT", "a load report that cannot be read") from None
    found = []
    for cluster in message.cluster_stats:
        met, whole = [], []
        for one in cluster.upstream_locality_stats:
            for at in one.upstream_endpoint_stats:
                where = at.address.socket_address
                met.append(((where.address, where.port_value), _tally(at)))
            if one.locality.sub_zone and not one.upstream_endpoint_stats:
                met.append((one.locality.sub_zone, _tally(one)))
            whole.append(_tally(one))
        found.append(
            client_load_reports.ClusterLoadReport(
                cluster.cluster_name,
                _seconds(cluster.load_report_interval),
                met,
                whole,
                cluster.total_dropped_requests,
            )
        )
    return node_of(message.node), found
