"""Records of the policy's state for tests."""

from oatcart.policy.registry import EndpointRegistry
from oatcart.policy.state import Endpoint


def make_endpoint(**fields) -> Endpoint:
    """Returns a new endpoint with some fields set."""
    endpoint = EndpointRegistry().get_or_create(0)
    for name, value in fields.items():
        setattr(endpoint, name, value)
    return endpoint
