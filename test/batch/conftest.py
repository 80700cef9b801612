"""Set-up of the tests over whole hosts."""

import pytest

from galenascale.batch import worker


@pytest.fixture(autouse=True)
def slow_filling(monkeypatch):
    """Look for free slots less often, since each fake timer costs time."""
    monkeypatch.setattr(worker, "FILL_INTERVAL_S", 0.5)
