"""How the platform builds and starts the system."""
