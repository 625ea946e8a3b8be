"""Planned moves of traffic between regions, under a cap."""
