"""Coordinate jobs from submission to result."""
