"""Speak the formats of the users' platform, and decide nothing.

Every name of the wire stands in this package only. Messages are decoded once into the
project's types.
"""
