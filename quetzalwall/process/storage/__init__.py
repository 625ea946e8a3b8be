"""What is read from and written to the platform's table and objects."""
