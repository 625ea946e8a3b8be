"""Interface to the platform: its store, headers, settings and deploy file."""
