"""Benchmarks, run as `python -m benchmarks.NAME`, and the modules that they share."""
