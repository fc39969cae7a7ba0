"""xDS v3: serves clusters and endpoints to clients, reads endpoints from a management server: docs/xds.md."""
