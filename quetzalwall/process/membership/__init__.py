"""Who is live, and messages between instances."""
