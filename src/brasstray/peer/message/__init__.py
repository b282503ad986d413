"""Define the messages between hosts, one per module."""
