"""Clients of the platform's services, one narrow module for each."""
