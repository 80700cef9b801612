"""What the handlers of the caller API use."""

from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

from galenascale.clock import Clock
from galenascale.generated.messages import LimitSettings
from galenascale.metrics import Metrics
from galenascale.tenants import Tenants


@attrs.frozen
class ApiContext:
    """
    Parts of the host that the API calls.

    `online` has the method `complete(OnlineRequest) -> AsyncIterator[Chunk]`,
    `config` the attribute `current`, a Configuration.
    """

    online: Any
    config: Any
    tenants: Tenants
    metrics: Metrics
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    clock: Clock = attrs.field(factory=Clock)
    is_ready: Callable[[], bool] = lambda: True
    # True while the host stops: answers close their connections.
    is_stopping: Callable[[], bool] = lambda: False
    # FileService, JobService and CallService.
    files: Any = None
    jobs: Any = None
    calls: Any = None


CONTEXT = web.AppKey("context", ApiContext)
