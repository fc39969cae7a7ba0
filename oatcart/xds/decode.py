"""Decodes discovery requests and load reports of clients into plain records.

An invalid message raises RequestRejectedError, which names the field.
"""

from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from oatcart.xds import client_load_reports, view
from oatcart.xds.client_state import ClientIdentity, ClientRequest
from oatcart.xds.encode import TYPE_URLS
from oatcart.xds.limits import RequestRejectedError

RESOURCE_TYPES = {url: resource_type for resource_type, url in TYPE_URLS.items()}
GRPC_USER_AGENT = "gRPC"  # start of the user agent of gRPC's own clients
# key in node.metadata by which a client chooses how endpoints are delivered
SHAPE_KEY, SHAPES = "oatcart.endpoints", {view.WHOLE, view.EACH, view.SPREAD}
ERROR_LENGTH_MAX = 1000  # characters kept of a client's error message


def resource_type_of(url: str) -> str:
    """Returns the resource type of a type URL; raises RequestRejectedError."""
    if url in RESOURCE_TYPES:
        return RESOURCE_TYPES[url]
    if "/" not in url or len(url) > 300:
        raise RequestRejectedError(
            "INVALID_ARGUMENT", f"type_url: expected the URL of a type, got {url[:80]!r}"
        )
    raise RequestRejectedError(
        "UNIMPLEMENTED",
        f"type_url: {url} is not supported; supported are {', '.join(sorted(RESOURCE_TYPES))}",
    )


def identity_of(node: base_pb2.Node) -> ClientIdentity | None:
    """Returns the identity of a client; None if the message has none.

    The shape is the one named in the metadata, else `SPREAD` for gRPC's own clients and `WHOLE` for others.
    """
    if not node.id and not node.HasField("locality"):
        return None
    shape = view.SPREAD if node.user_agent_name.startswith(GRPC_USER_AGENT) else view.WHOLE
    if SHAPE_KEY in node.metadata.fields:
        shape = node.metadata.fields[SHAPE_KEY].string_value
        if shape not in SHAPES:
            raise RequestRejectedError(
                "INVALID_ARGUMENT",
                f"node.metadata: {SHAPE_KEY}: got {shape[:80]!r}, "
                f"expected one of {', '.join(sorted(SHAPES))}",
            )
    return ClientIdentity(node.id, node.locality.zone, shape)


def decode_request(delta: bool, data: bytes, only_type: str | None = None) -> ClientRequest:
    """Decodes a discovery request of either protocol; raises RequestRejectedError.

    `only_type`: the type of a stream for one type, whose requests may leave it out.
    """
    try:
        message = (
            discovery_pb2.DeltaDiscoveryRequest if delta else discovery_pb2.DiscoveryRequest
        ).FromString(data)
    except DecodeError:
        raise RequestRejectedError("INVALID_ARGUMENT", "request: malformed DiscoveryRequest") from None
    resource_type = resource_type_of(message.type_url) if message.type_url or only_type is None else only_type
    error_message = None
    if message.HasField("error_detail"):
        error_message = (
            message.error_detail.message[:ERROR_LENGTH_MAX]
            or f"status {message.error_detail.code} without a message"
        )
    identity = identity_of(message.node)
    if delta:
        return ClientRequest(
            resource_type,
            tuple(message.resource_names_subscribe),
            tuple(message.resource_names_unsubscribe),
            dict(message.initial_resource_versions),
            message.response_nonce,
            error_message,
            identity,
        )
    return ClientRequest(
        resource_type,
        tuple(message.resource_names),
        nonce=message.response_nonce,
        error_message=error_message,
        identity=identity,
        version=message.version_info,
    )


def _seconds(duration: object) -> float:
    return duration.seconds + duration.nanos / 1e9


def _metrics(stats: object) -> dict[str, tuple[int, float]]:
    metrics = {
        metric.metric_name: (metric.num_requests_finished_with_metric, metric.total_metric_value)
        for metric in stats.load_metric_stats
    }
    for name in ("cpu_utilization",):
        if name in stats.DESCRIPTOR.fields_by_name and stats.HasField(name):
            metric = getattr(stats, name)
            metrics.setdefault(name, (metric.num_requests_finished_with_metric, metric.total_metric_value))
    return metrics


def _request_counts(stats: object) -> client_load_reports.RequestCounts:
    return client_load_reports.RequestCounts(
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_issued_requests,
        stats.total_requests_in_progress,
        _metrics(stats),
    )


def decode_load_report(
    data: bytes,
) -> tuple[ClientIdentity | None, list[client_load_reports.ClusterLoadReport]]:
    """Decodes a load report into the sender and its counts by cluster; raises RequestRejectedError."""
    try:
        message = lrs_pb2.LoadStatsRequest.FromString(data)
    except DecodeError:
        raise RequestRejectedError("INVALID_ARGUMENT", "load report: malformed LoadStatsRequest") from None
    reports = []
    for cluster in message.cluster_stats:
        endpoints, localities = [], []
        for locality_stats in cluster.upstream_locality_stats:
            for endpoint_stats in locality_stats.upstream_endpoint_stats:
                address = endpoint_stats.address.socket_address
                endpoints.append(((address.address, address.port_value), _request_counts(endpoint_stats)))
            if locality_stats.locality.sub_zone and not locality_stats.upstream_endpoint_stats:
                endpoints.append((locality_stats.locality.sub_zone, _request_counts(locality_stats)))
            localities.append(_request_counts(locality_stats))
        reports.append(
            client_load_reports.ClusterLoadReport(
                cluster.cluster_name,
                _seconds(cluster.load_report_interval),
                endpoints,
                localities,
                cluster.total_dropped_requests,
            )
        )
    return identity_of(message.node), reports
