"""Explain a request's outcome from the log lines of all hosts."""
