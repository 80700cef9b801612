"""Online and batch inference serving on one fleet of backend servers."""

__version__ = "0.1.0"
