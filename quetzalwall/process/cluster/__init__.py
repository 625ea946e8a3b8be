"""What an instance knows of the cluster, from the store, its peers and responses."""
