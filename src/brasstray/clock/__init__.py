"""Provide the time behind an interface that tests can replace."""
