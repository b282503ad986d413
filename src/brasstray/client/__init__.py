"""Call entry hosts over the callers' HTTP interface."""
