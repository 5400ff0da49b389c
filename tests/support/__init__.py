"""What tests and scenarios share."""
