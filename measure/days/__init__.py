"""Play days of trouble of the project's own and tabulate which rules they break."""
