"""What an instance knows: from the store, from its peers and from responses."""
