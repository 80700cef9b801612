"""Claiming, running and recording of batch items."""

from galenascale.batch.grants import GrantService
from galenascale.batch.worker import BatchWorker

__all__ = ["BatchWorker", "GrantService"]
