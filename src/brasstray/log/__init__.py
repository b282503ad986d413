"""Write log lines without blocking on a slow reader."""
