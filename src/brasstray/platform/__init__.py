"""Translate between the platform's wire formats and the project's types.

The names of the wire formats appear in this package only. It decodes each message once
and makes no dispatching decisions.
"""
