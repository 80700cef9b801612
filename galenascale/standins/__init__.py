"""Small stand-ins of the outside systems, for tests and development."""
