"""Direct routing: each host sends requests straight to the targets that own their keys."""
