"""Encodes resources as Envoy's v3 messages, and pushes as discovery responses.

A resource is encoded once for all clients: serialized protobuf messages may be concatenated, so a response is
its own few fields followed by a cached part for each resource (protobuf, encoding: "last one wins" and
repeated fields).
"""

from collections import OrderedDict

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, extension_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.extensions.load_balancing_policies.round_robin.v3 import round_robin_pb2
from envoy.extensions.load_balancing_policies.wrr_locality.v3 import wrr_locality_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2
from google.protobuf.message import Message

from oatcart.xds import view
from oatcart.xds.push import Push
from oatcart.xds.resource_types import CLUSTER, ENDPOINTS, LISTENER, MEMBER, ROUTE

TYPE_URLS = {
    CLUSTER: "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    ENDPOINTS: "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    MEMBER: "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
    LISTENER: "type.googleapis.com/envoy.config.listener.v3.Listener",
    ROUTE: "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
}
CACHED_PARTS_MAX = 8192  # encoded resources; the least recently used is dropped first
UNLIMITED = 2**32 - 1  # Envoy's value for no limit
CONNECT_TIMEOUT = 1  # s until a client reports an endpoint as unreachable; the controller ejects it
OVERPROVISIONING_PERCENT = 10_000  # a zone keeps its full weight while one of its endpoints is healthy
DROP_CATEGORY = "oatcart-admission"  # category of dropped requests in load reports
ADS = config_source_pb2.ConfigSource(
    ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
)


def _packed(message: Message) -> any_pb2.Any:
    packed = any_pb2.Any()
    packed.Pack(message, deterministic=True)
    return packed


def _cluster(body: view.Cluster) -> Message:
    """The client decides nothing itself: outlier detection, limits, panic threshold and zone-aware routing
    are off, and the health of an endpoint is that of its resource. Envoy draws two endpoints and picks the
    one with fewer requests in flight. gRPC's own client draws a locality by weight, and each endpoint is one.
    """
    limits = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        **{
            name: wrappers_pb2.UInt32Value(value=UNLIMITED)
            for name in ("max_connections", "max_pending_requests", "max_requests", "max_retries")
        }
    )
    cluster = cluster_pb2.Cluster(
        name=body.kind,
        type=cluster_pb2.Cluster.EDS,
        connect_timeout=duration_pb2.Duration(seconds=CONNECT_TIMEOUT),
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ADS),
        lrs_server=config_source_pb2.ConfigSource(self=config_source_pb2.SelfConfigSource()),
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[limits]),
    )
    if body.shape == view.SPREAD:
        round_robin_config = extension_pb2.TypedExtensionConfig(
            name="round_robin", typed_config=_packed(round_robin_pb2.RoundRobin())
        )
        endpoint_policy = cluster_pb2.LoadBalancingPolicy(
            policies=[cluster_pb2.LoadBalancingPolicy.Policy(typed_extension_config=round_robin_config)]
        )
        wrr_locality_config = extension_pb2.TypedExtensionConfig(
            name="wrr_locality",
            typed_config=_packed(wrr_locality_pb2.WrrLocality(endpoint_picking_policy=endpoint_policy)),
        )
        cluster.load_balancing_policy.policies.add().typed_extension_config.CopyFrom(wrr_locality_config)
        return cluster
    cluster.lb_policy = cluster_pb2.Cluster.LEAST_REQUEST
    cluster.least_request_lb_config.choice_count.value = 2
    common = cluster.common_lb_config
    common.healthy_panic_threshold.value = 0.0
    common.zone_aware_lb_config.routing_enabled.value = 0.0
    common.update_merge_window.SetInParent()  # 0: updates take effect at once
    return cluster


def _lb_endpoint(endpoint: view.Endpoint, weighted: bool) -> endpoint_components_pb2.LbEndpoint:
    address = address_pb2.Address(
        socket_address=address_pb2.SocketAddress(address=endpoint.host, port_value=endpoint.port)
    )
    lb_endpoint = endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(address=address, hostname=endpoint.name),
        health_status=health_check_pb2.HealthStatus.Value(endpoint.health),
    )
    if weighted:
        lb_endpoint.load_balancing_weight.value = endpoint.weight
    return lb_endpoint


def _assignment(body: view.Assignment) -> Message:
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=body.kind)
    assignment.policy.overprovisioning_factor.value = OVERPROVISIONING_PERCENT
    if body.drop:
        assignment.policy.drop_overloads.add(
            category=DROP_CATEGORY,
            drop_percentage=percent_pb2.FractionalPercent(
                numerator=body.drop, denominator=percent_pb2.FractionalPercent.MILLION
            ),
        )
    if body.shape == view.EACH:
        for zone, prefix in body.collections:
            locality = assignment.endpoints.add(locality=base_pb2.Locality(zone=zone))
            locality.leds_cluster_locality_config.leds_collection_name = prefix + "*"
            locality.leds_cluster_locality_config.leds_config.CopyFrom(ADS)
    elif body.shape == view.SPREAD:
        for endpoint in body.endpoints:
            locality = assignment.endpoints.add(
                locality=base_pb2.Locality(zone=endpoint.zone, sub_zone=endpoint.name),
                lb_endpoints=[_lb_endpoint(endpoint, False)],
            )
            locality.load_balancing_weight.value = endpoint.weight  # gRPC ignores a locality without a weight
    else:
        for zone in sorted({endpoint.zone for endpoint in body.endpoints}):
            zone_endpoints = [endpoint for endpoint in body.endpoints if endpoint.zone == zone]
            locality = assignment.endpoints.add(
                locality=base_pb2.Locality(zone=zone),
                lb_endpoints=[_lb_endpoint(endpoint, True) for endpoint in zone_endpoints],
            )
            locality.load_balancing_weight.value = max(
                1, sum(endpoint.weight for endpoint in zone_endpoints if endpoint.health == view.HEALTHY)
            )
    return assignment


def _listener(body: view.Listener) -> Message:
    manager = http_connection_manager_pb2.HttpConnectionManager(stat_prefix=body.kind)
    manager.rds.route_config_name = body.kind
    manager.rds.config_source.CopyFrom(ADS)
    manager.http_filters.add(name="router", typed_config=_packed(router_pb2.Router()))
    return listener_pb2.Listener(
        name=body.kind, api_listener=api_listener_pb2.ApiListener(api_listener=_packed(manager))
    )


def _route(body: view.Route) -> Message:
    route_config = route_pb2.RouteConfiguration(name=body.kind)
    virtual_host = route_config.virtual_hosts.add(name=body.kind, domains=["*"])
    action = route_components_pb2.RouteAction(cluster=body.kind)
    if body.retries:
        action.retry_policy.retry_on = body.after
        action.retry_policy.num_retries.value = body.retries
    virtual_host.routes.add(match=route_components_pb2.RouteMatch(prefix=""), route=action)
    return route_config


_BODY_ENCODERS = {
    view.Cluster: _cluster,
    view.Assignment: _assignment,
    view.Listener: _listener,
    view.Route: _route,
    view.Member: lambda body: _lb_endpoint(body.endpoint, True),
}


class Encoder:
    """Encodes each version of a resource once. `encoded_count`: resources encoded so far."""

    def __init__(self, max_parts: int = CACHED_PARTS_MAX) -> None:
        self.max_parts, self.encoded_count = max_parts, 0
        # by protocol, type, name and version: the part of a response
        self.parts: OrderedDict[tuple, bytes] = OrderedDict()

    def _part(self, delta: bool, resource_type: str, name: str, version: str, body: object) -> bytes:
        key = delta, resource_type, name, version
        part = self.parts.get(key)
        if part is None:
            self.encoded_count += 1
            packed_body = _packed(_BODY_ENCODERS[type(body)](body))
            if delta:
                resource = discovery_pb2.Resource(name=name, version=version, resource=packed_body)
                part = discovery_pb2.DeltaDiscoveryResponse(resources=[resource]).SerializeToString(
                    deterministic=True
                )
            else:
                part = discovery_pb2.DiscoveryResponse(resources=[packed_body]).SerializeToString(
                    deterministic=True
                )
            self.parts[key] = part
            while len(self.parts) > self.max_parts:
                self.parts.popitem(last=False)
        else:
            self.parts.move_to_end(key)
        return part

    def push(self, delta: bool, resource_type: str, push: Push) -> bytes:
        """Returns a serialized discovery response of either protocol."""
        if delta:
            head = discovery_pb2.DeltaDiscoveryResponse(
                type_url=TYPE_URLS[resource_type],
                nonce=push.nonce,
                system_version_info=push.version,
                removed_resources=push.removed,
            ).SerializeToString()
        else:
            head = discovery_pb2.DiscoveryResponse(
                type_url=TYPE_URLS[resource_type], nonce=push.nonce, version_info=push.version
            ).SerializeToString()
        return head + b"".join(
            self._part(delta, resource_type, name, content.version, content.body)
            for name, content in push.items
        )
