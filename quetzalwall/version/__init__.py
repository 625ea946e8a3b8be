"""Data that lives as long as one version of the configuration, and its checks."""
