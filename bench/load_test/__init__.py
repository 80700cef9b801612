"""Readers for the output of the load test that users run on gateways."""
