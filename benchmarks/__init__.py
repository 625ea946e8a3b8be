"""Measurements and the test runner."""
