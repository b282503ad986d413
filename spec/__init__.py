"""Specify the job and pool protocols as models for an exhaustive checker."""
