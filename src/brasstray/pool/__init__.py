"""Own the minions of one data centre: start, hold and stop their tasks."""
