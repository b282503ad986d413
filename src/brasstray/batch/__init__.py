"""Describe jobs that need not be stored: their tasks, queues and outcomes."""
