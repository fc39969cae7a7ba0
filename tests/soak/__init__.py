"""A seeded soak test: real controller processes on loopback among scripted peers, with faults and signals.

`PYTHONPATH=tests python -m soak --seeds 1-50` runs seeds one after another; a failure prints the command that
reproduces it.
"""
