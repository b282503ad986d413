"""Dispatch short, urgent tasks to minions, each at most once."""
