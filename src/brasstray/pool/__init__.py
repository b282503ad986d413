"""Own the minions of one data centre: start tasks, renew leases and stop tasks."""
