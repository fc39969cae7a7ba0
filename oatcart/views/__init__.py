"""Which nodes of a large fleet each conductor is told of, and which conductors count as alive.

Everything in `records`, `keys`, `quotas`, `matching`, `pool`, `subsets` and `alive` decides only: no sockets,
no files, and no clock but the one handed in. The design and its measured figures are in `docs/views.md`.
"""
