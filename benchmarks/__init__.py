"""Measurements, and the runner of the tests."""
