"""Rows that an instance reads from and writes to the platform's metadata store."""
