"""Define the journal's record types, one per module."""
