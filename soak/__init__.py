"""Fault soak: the real programs as separate processes, with faults from outside."""
