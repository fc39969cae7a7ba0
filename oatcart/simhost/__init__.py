"""The adapter that connects the decisions to the simulator's wire.

Source: the operators' page of the adapter protocol (WIRE). Only `frames.py` and `command_encoding.py` use the
names of its records and their layouts; times are milliseconds there, and seconds everywhere else.
"""
