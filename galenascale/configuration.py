"""The configuration in force as typed declarations."""

import attrs
import cattrs
import orjson

from galenascale.generated import messages
from galenascale.logs import get_logger

log = get_logger("configuration")

DECLARATION_TYPES = {
    "service": messages.ServiceDeclaration,
    "model": messages.ModelDeclaration,
    "tenant": messages.TenantDeclaration,
    "backend_server": messages.BackendServerDeclaration,
}

# Fields of newer schema versions are skipped here; the log keeps them.
LENIENT = cattrs.Converter()


@attrs.frozen
class Configuration:
    """Declarations by name and their version (a log offset)."""

    version: int = -1
    services_by_name: dict = attrs.field(factory=dict)
    models_by_name: dict = attrs.field(factory=dict)
    tenants_by_id: dict = attrs.field(factory=dict)
    servers_by_id: dict = attrs.field(factory=dict)

    @classmethod
    def from_state(cls, state):
        """Return the typed view of the readable part of a ConfigState."""
        by_kind = {kind: {} for kind in DECLARATION_TYPES}
        for (kind, name), item in state.entries_by_key.items():
            if item.entry.deleted or kind not in DECLARATION_TYPES:
                continue
            try:
                data = orjson.loads(item.entry.json)
                by_kind[kind][name] = LENIENT.structure(data, DECLARATION_TYPES[kind])
            except Exception as error:
                log.warning("Skipped declaration %s %s: %r.", kind, name, error)
        return cls(
            state.version,
            by_kind["service"],
            by_kind["model"],
            by_kind["tenant"],
            by_kind["backend_server"],
        )
