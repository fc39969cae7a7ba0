"""Trace files, which hold the events, decisions and requests of an instance; docs/trace.md has the format."""
