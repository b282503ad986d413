"""Define the data types of jobs that are not stored: tasks, queues and outcomes."""
