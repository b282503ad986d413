"""Define the data types of jobs, tasks, keys and answers."""
