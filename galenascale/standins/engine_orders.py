"""Orders to an engine stand-in, and the models that they load."""

import attrs

from galenascale.errors import GalenascaleError, UserError
from galenascale.standins.engine_requests import ModelName

ACTIONS = frozenset(
    (
        "load_model",
        "unload_model",
        "load_adapter",
        "unload_adapter",
        "set_role",
        "drain",
    )
)
ROLES = frozenset(("mixed", "prefill", "decode"))
DEFAULT_WEIGHT_BYTES = 1_000_000_000


class StaleFencingNumber(GalenascaleError):
    """An order whose fencing number is below the highest one seen."""

    code = "stale_fencing"
    http_status = 409

    def __init__(self, current):
        super().__init__(f"fencing number is below {current}", step="order")
        self.current = current


@attrs.frozen
class Order:
    """One order; `target` is a model, MODEL:ADAPTER or a role."""

    fencing: int
    action: str
    target: str = ""
    version: str = ""
    bytes: int = DEFAULT_WEIGHT_BYTES

    @classmethod
    def parse(cls, body):
        """Parse a JSON body; raise UserError if it is not a valid order."""
        order = cls(
            body.get("fencing"),
            body.get("action"),
            body.get("target") or "",
            body.get("version") or "",
            body.get("bytes") or DEFAULT_WEIGHT_BYTES,
        )
        if type(order.fencing) is not int or type(order.bytes) is not int:
            raise UserError("fencing and bytes must be integers")
        if order.action not in ACTIONS:
            raise UserError(f"action {order.action!r} does not exist")
        if order.action == "set_role" and order.target not in ROLES:
            raise UserError(f"role {order.target!r} does not exist")
        if (
            order.action.endswith("adapter")
            and not ModelName.parse(order.target).adapter
        ):
            raise UserError("target must be MODEL:ADAPTER")
        return order


class LoadedModels:
    """
    Loaded model versions and their adapters, in loading order.

    An engine that starts without models serves any model.
    """

    def __init__(self, names):
        self.serves_all = not names
        self.adapters_by_model = {}
        for name in map(ModelName.parse, names):
            adapters = self.adapters_by_model.setdefault(
                (name.name, name.version), set()
            )
            if name.adapter:
                adapters.add(name.adapter)

    def version_for(self, model):
        """Return the version that serves a ModelName; None if not loaded."""
        if self.serves_all:
            return model.version
        for (name, version), adapters in reversed(self.adapters_by_model.items()):
            if (
                name == model.name
                and model.version in ("", version)
                and (not model.adapter or model.adapter in adapters)
            ):
                return version
        return None

    def check(self, order):
        """Raise UserError for an adapter whose base model is not loaded."""
        key = _key(order)
        if order.action.endswith("adapter") and key not in self.adapters_by_model:
            raise UserError(f"model {key[0]} version {key[1]} is not loaded")

    def apply(self, order):
        """Load or unload the model or adapter of an order."""
        key, adapter = _key(order), ModelName.parse(order.target).adapter
        # The model may have been unloaded while its adapter was downloaded.
        self.check(order)
        if order.action == "load_model":
            self.adapters_by_model.setdefault(key, set())
        elif order.action == "unload_model":
            self.adapters_by_model.pop(key, None)
        elif order.action == "load_adapter":
            self.adapters_by_model[key].add(adapter)
        else:
            self.adapters_by_model[key].discard(adapter)

    def report(self):
        """Return the loaded models in the format of the load report."""
        return [
            {"name": name, "version": version, "adapters": sorted(adapters)}
            for (name, version), adapters in self.adapters_by_model.items()
        ]


def _key(order):
    name = ModelName.parse(order.target)
    return name.name, order.version or name.version


class FencingGuard:
    """
    Tracks the highest fencing number and rejects lower ones.

    With `checks` false it accepts any number, like servers without fencing.
    """

    def __init__(self, checks):
        self.checks = checks
        self.highest = -1

    def check(self, number):
        """Raise StaleFencingNumber if a number is below the highest one."""
        if self.checks and number < self.highest:
            raise StaleFencingNumber(self.highest)
        self.highest = max(self.highest, number)
