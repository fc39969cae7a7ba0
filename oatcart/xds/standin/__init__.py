"""Scripted peers of the xDS front: a client, and a management server; for tests, benchmarks and looking by
hand.
"""
