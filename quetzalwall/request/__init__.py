"""What lives as long as one request, and the choices made for it."""
