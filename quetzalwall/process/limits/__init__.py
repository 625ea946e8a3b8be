"""Limits that hold over all instances together, and the share that this one may use."""
