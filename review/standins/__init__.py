"""Provide stand-ins of the platform, the minions and the clients for the cases."""
