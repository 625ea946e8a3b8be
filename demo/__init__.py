"""Demonstration: a whole deployment as plain processes on one machine."""
