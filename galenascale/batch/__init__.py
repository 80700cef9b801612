"""Batch work on capacity that online requests leave idle."""
