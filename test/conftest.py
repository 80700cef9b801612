"""Shared set-up of the tests."""

import os

from hypothesis import HealthCheck, settings

# Derandomized, so that the verdict is the same on every run. A local search
# with other examples: HYPOTHESIS_PROFILE=explore make test
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "explore",
    max_examples=1000,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
