"""What lives as long as the process of an entry instance."""
