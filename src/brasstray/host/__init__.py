"""Implement a host, which serves callers and may own a pool of minions."""
