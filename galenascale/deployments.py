"""Deployment directories: deployment.json and declarations/*.json."""

from pathlib import Path

import attrs
import orjson

from galenascale.errors import UserError
from galenascale.generated.messages import (
    BackendServerDeclaration,
    ConfigEntry,
    DeploymentSettings,
)
from galenascale.settings import load_settings
from galenascale.settings_files import read_json

DEPLOYMENT_FILE = "deployment.json"
DECLARATIONS_DIRECTORY = "declarations"
KINDS = ("service", "model", "tenant", "backend_server", "operator")
# Package data, found from any working directory and from the binary.
EXAMPLES = Path(__file__).resolve().parent / "examples"


@attrs.frozen
class Deployment:
    """A checked deployment directory; declarations are plain JSON objects."""

    path: Path
    settings: DeploymentSettings
    declarations: list[dict]

    @classmethod
    def from_directory(cls, path):
        """Return the deployment of a directory; raise UserError for faults."""
        path = Path(path)
        if not path.is_dir() and (EXAMPLES.parent / path).is_dir():
            path = EXAMPLES.parent / path
        source = path / DEPLOYMENT_FILE
        settings = load_settings(source, DeploymentSettings)
        _check_settings(settings, source)
        declarations = []
        for file in sorted((path / DECLARATIONS_DIRECTORY).glob("*.json")):
            declarations.extend(_read_declarations(file))
        _check_servers(settings, declarations, source)
        return cls(path, settings, declarations)

    def entries(self, urls_by_server):
        """Return configuration entries with the servers' actual URLs."""
        entries = []
        for declaration in self.declarations:
            kind, name = declaration["kind"], declaration["name"]
            if kind == "backend_server" and name in urls_by_server:
                declaration = declaration | {"url": urls_by_server[name]}
            entries.append(ConfigEntry(kind, name, orjson.dumps(declaration).decode()))
        return entries


def _read_declarations(file):
    value = read_json(file)
    items = value if isinstance(value, list) else [value]
    for index, item in enumerate(items):
        place = f"{file}: $[{index}]" if isinstance(value, list) else f"{file}: $"
        if not isinstance(item, dict) or item.get("kind") not in KINDS:
            raise UserError(f"{place}.kind: must be one of {', '.join(KINDS)}")
        if not isinstance(item.get("name"), str) or not item["name"]:
            raise UserError(f"{place}.name: must not be empty")
    return items


def _check_settings(settings, source):
    for name, ids in (
        ("hosts", [place.host_id for place in settings.hosts]),
        ("backend_servers", [item.server_id for item in settings.backend_servers]),
    ):
        if not ids or not all(ids) or len(set(ids)) != len(ids):
            raise UserError(f"{source}: $.{name}: must have unique names")
    for index, server in enumerate(settings.backend_servers):
        if server.kind not in ("engine", "plain"):
            raise UserError(
                f"{source}: $.backend_servers[{index}].kind: must be engine or plain"
            )


def _check_servers(settings, declarations, source):
    """Raise UserError if a stand-in differs from its declaration."""
    declared_by_name = {
        item["name"]: item for item in declarations if item["kind"] == "backend_server"
    }
    default_slots = BackendServerDeclaration().slots
    for server in settings.backend_servers:
        declared = declared_by_name.get(server.server_id)
        if declared is None:
            raise UserError(f"{source}: {server.server_id} is not declared")
        for name, value in (
            ("service_name", declared.get("service_name")),
            ("failure_domain", declared.get("failure_domain")),
            ("slots", declared.get("slots", default_slots)),
            ("checks_fencing", declared.get("checks_fencing", True)),
        ):
            if getattr(server, name) != value:
                raise UserError(
                    f"{source}: {server.server_id}: {name} differs from its declaration"
                )
