"""Fakes of the metadata store and of endpoints, for demo, tests and measurements."""
