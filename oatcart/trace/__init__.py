"""Traces: what came, what was decided, and why, on disk; docs/trace.md has the file's grammar."""
