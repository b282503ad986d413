"""Provide test doubles of the platform, the minions and the load balancer."""
