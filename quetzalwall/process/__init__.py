"""Components that live as long as the process of an instance."""
