"""Serves each controller of a large fleet a list of some of the endpoints, its view.

`records`, `keys`, `quotas`, `matching`, `service_pool`, `fleet_views` and `liveness` are free of I/O: they
open no sockets or files, and times are passed in. The design and its measured figures are in `docs/views.md`.
"""
