"""Trace files: the events, decisions and requests of an instance on disk; docs/trace.md has the format."""
