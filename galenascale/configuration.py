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
        return cls().updated(state, state.entries_by_key)

    def updated(self, state, keys):
        """Return the view after the entries with these keys have changed."""
        views = {
            "service": self.services_by_name,
            "model": self.models_by_name,
            "tenant": self.tenants_by_id,
            "backend_server": self.servers_by_id,
        }
        copied = set()
        for kind, name in keys:
            if kind not in views:
                continue
            if kind not in copied:
                views[kind] = dict(views[kind])
                copied.add(kind)
            declaration = _read(state.entries_by_key.get((kind, name)))
            if declaration is None:
                views[kind].pop(name, None)
            else:
                views[kind][name] = declaration
        return Configuration(state.version, *views.values())


def _read(item):
    """Return the declaration of an entry, or None if it has none in force."""
    if item is None or item.entry.deleted:
        return None
    entry = item.entry
    try:
        return LENIENT.structure(
            orjson.loads(entry.json), DECLARATION_TYPES[entry.kind]
        )
    except Exception as error:
        log.warning("Skipped declaration %s %s: %r.", entry.kind, entry.name, error)
        return None
