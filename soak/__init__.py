"""Soak test: instances as separate processes, with faults injected from outside."""
