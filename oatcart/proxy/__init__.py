"""Decisions of a data-plane proxy.

Which endpoint gets a request, whether it is admitted, over which connection it goes, whether it is retried,
and what the proxy does without a controller. None of the modules does I/O or reads a clock: the caller passes
the time.
"""
