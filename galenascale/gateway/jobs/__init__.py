"""Batch jobs: kept in the store, run by hosts, readable at any host."""
