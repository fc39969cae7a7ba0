"""How many descriptors a control role needs, held against the limit that its process was started with."""

import resource

from oatcart.views.configuration import Configuration
from oatcart.yaml_files import Wrong

# descriptors: standard streams, epoll, the wake pair, the main listener, the call to discovery; half
# spare
RESERVED_DESCRIPTORS = 32


def required_descriptors(configuration: Configuration) -> int:
    """Descriptors for a listener of each conductor that has an address, and for all connections."""
    listeners = sum(served.address is not None for served in configuration.controllers)
    return listeners + configuration.bounds.max_connections + RESERVED_DESCRIPTORS


def check_descriptors(configuration: Configuration) -> None:
    """Raises Wrong where the limit is lower than what is needed; the limit itself is the operators'."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY and required_descriptors(configuration) > limit:
        raise Wrong(
            f"{required_descriptors(configuration)} descriptors are needed (conductors' addresses, "
            f"bounds.connections), {limit} are allowed; raise the limit (ulimit -n, LimitNOFILE) or lower "
            "bounds.connections"
        )
