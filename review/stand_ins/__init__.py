"""Stand-ins for the users' platform, workers and clients, on loopback addresses."""
