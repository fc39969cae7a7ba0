"""Serves each controller of a large fleet a list of some of the endpoints, its view.

`records`, `keys`, `quotas`, `matching`, `pool`, `fleet_views` and `liveness` only decide: no sockets, no
files, and no clock but the one that is handed in. The design and its measured figures are in `docs/views.md`.
"""
