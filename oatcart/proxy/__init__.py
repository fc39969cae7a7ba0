"""A data-plane proxy's decisions: which node, what is let in, whether to try again. Free of I/O and clock."""
