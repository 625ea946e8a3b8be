"""Choice of a slot for a request, from what is known of endpoints."""
