"""Gateway hosts for online requests and batch jobs on backend servers.

A host forwards the requests of callers byte for byte according to the
operator's route table, and runs batch jobs that are kept in the platform's
store. Modules that make decisions do no I/O. `galenascale.platform` translates
the names and formats of the platform.
"""
