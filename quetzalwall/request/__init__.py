"""Serve requests: choose endpoints, make attempts, and record the results."""
