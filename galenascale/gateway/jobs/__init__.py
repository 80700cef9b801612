"""Batch jobs: stored in the store, run by hosts, readable at any host."""
