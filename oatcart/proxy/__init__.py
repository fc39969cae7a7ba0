"""Decisions of a data-plane proxy.

They cover endpoint selection, admission, connection pools, retries, and operation without a controller. None
of the modules does I/O or reads a clock: the caller passes the time.
"""
