"""Serving of opaque requests and of batch jobs in front of backend servers.

A host forwards the requests of callers byte for byte, by a table of routes
that the operator writes, and runs batch jobs that are kept in the platform's
store. The modules of decisions have no I/O; `galenascale.platform` translates
names and formats of the platform.
"""
