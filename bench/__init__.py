"""Experiments that measure galenascale; `make bench` runs them."""
