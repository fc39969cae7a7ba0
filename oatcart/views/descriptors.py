"""Checks that the process may open as many file descriptors as the control role needs."""

import resource

from oatcart.errors import InvalidConfigurationError
from oatcart.views.configuration import Configuration

# Twice the descriptors of standard streams, epoll, wake sockets, main listener and the call to discovery.
RESERVED_DESCRIPTORS = 32


def required_descriptors(configuration: Configuration) -> int:
    """The number of descriptors for the listeners of controllers, all connections and the reserve."""
    listeners = sum(served.address is not None for served in configuration.controllers)
    return listeners + configuration.bounds.max_connections + RESERVED_DESCRIPTORS


def check_descriptors(configuration: Configuration) -> None:
    """Raises InvalidConfigurationError if the limit of the process is too low. Does not raise the limit
    itself."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY and required_descriptors(configuration) > limit:
        raise InvalidConfigurationError(
            f"{required_descriptors(configuration)} descriptors are needed (addresses of controllers, "
            f"bounds.connections), {limit} are allowed; raise the limit (ulimit -n, LimitNOFILE) or lower "
            "bounds.connections"
        )
