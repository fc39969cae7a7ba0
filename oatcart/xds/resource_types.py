"""The resource types of xDS as they are called inside, and their order. Free of I/O."""

CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE = "cluster", "endpoints", "member", "listener", "route"
ORDER = (CLUSTER, ENDPOINTS, MEMBER, LISTENER, ROUTE)  # makes go in this order, breaks against it
WHOLE_TYPES = (CLUSTER, LISTENER)  # the state-of-the-world protocol has each push hold all of them
CARRIES_ENDPOINTS = (ENDPOINTS, MEMBER)
FIRST_PUSHES = (CLUSTER, ENDPOINTS, MEMBER)  # what a returning client needs until it misses no withdrawal
BY_TABLE = (ENDPOINTS, MEMBER, ROUTE)  # depend on the client's tables
