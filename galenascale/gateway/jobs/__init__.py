"""Batch jobs: kept in the store, run by hosts, read from any host."""
