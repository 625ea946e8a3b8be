"""Demonstration: a complete deployment as processes on one machine."""
