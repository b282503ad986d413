"""Run the project's fault scenarios and tabulate the rules that they violate."""
