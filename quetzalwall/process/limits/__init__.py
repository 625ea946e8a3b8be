"""Limits that hold over all instances together, and this instance's part of them."""
