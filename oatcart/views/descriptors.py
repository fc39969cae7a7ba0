"""Compares the file descriptors that a control role needs with the limit of its process."""

import resource

from oatcart.errors import InvalidConfigurationError
from oatcart.views.configuration import Configuration

# Standard streams, epoll, the wake pair, the main listener and the call to discovery, twice over.
RESERVED_DESCRIPTORS = 32


def required_descriptors(configuration: Configuration) -> int:
    """Descriptors for a listener of each controller that has an address, and for all connections."""
    listeners = sum(served.address is not None for served in configuration.controllers)
    return listeners + configuration.bounds.max_connections + RESERVED_DESCRIPTORS


def check_descriptors(configuration: Configuration) -> None:
    """Raises InvalidConfigurationError if the limit is too low. The limit itself is left to the operators."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY and required_descriptors(configuration) > limit:
        raise InvalidConfigurationError(
            f"{required_descriptors(configuration)} descriptors are needed (addresses of controllers, "
            f"bounds.connections), {limit} are allowed; raise the limit (ulimit -n, LimitNOFILE) or lower "
            "bounds.connections"
        )
