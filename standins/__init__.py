"""Small stand-ins for the platform and the endpoints, for demo, tests and figures."""
