"""Join the parts of a host that serves callers and may own a pool of minions."""
