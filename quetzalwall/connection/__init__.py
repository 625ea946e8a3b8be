"""Connections to callers, endpoints and other processes, and HTTP on them."""
