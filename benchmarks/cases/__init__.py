"""Measurement cases, one a module, each with TITLE, CONCLUSION and ``run``."""
