"""Scripted peers of the xDS front: clients, endpoints and a management server, for tests and benchmarks."""
