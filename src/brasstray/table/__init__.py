"""Store the operators' table of weights and limits for each service."""
