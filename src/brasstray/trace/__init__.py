"""Explain the outcome of a request from the log lines of all hosts."""
