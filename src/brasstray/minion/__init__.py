"""Start tasks on minions."""
