"""Run an entry host or a host of the platform as a process."""
