"""Measurement cases: modules that each have TITLE, CONCLUSION and ``run``."""
