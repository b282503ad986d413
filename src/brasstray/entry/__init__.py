"""Serve callers and peers on one entry host."""
