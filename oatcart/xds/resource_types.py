"""Names of the resource types of xDS, and the order in which they are sent. Free of I/O."""

CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE = "cluster", "endpoints", "member", "listener", "route"
ORDER = (CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE)  # of additions; removals are in the reverse order
WHOLE_TYPES = (CLUSTER, LISTENER)  # each push has all of them in the state-of-the-world protocol
CARRIES_ENDPOINTS = (ENDPOINTS, MEMBER)
FIRST_PUSHES = (CLUSTER, ENDPOINTS, MEMBER)  # after these a returning client misses no withdrawal
BY_TABLE = (ENDPOINTS, MEMBER, ROUTE)  # depend on the client's tables
