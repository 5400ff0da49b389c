"""Direct routing: each entry host sends requests to the targets that hold their keys."""
