"""Stand-ins for the users' platform: its store, workers, machines and clients."""
