"""Clusters and endpoints in xDS v3, offered to clients and taken from a management server: docs/xds.md."""
