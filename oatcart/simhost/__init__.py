"""The adapter that joins the decisions to the simulator's wire.

Source: the operators' page of the adapter protocol (WIRE). Names of its records and their layouts stand in
`frames.py` and `command_encoding.py` alone; times there are milliseconds, everywhere else seconds.
"""
