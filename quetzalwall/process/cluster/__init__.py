"""What an instance knows of the cluster by the store, its peers and responses."""
