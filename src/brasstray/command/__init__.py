"""Provide the command line for callers and operators."""
