"""Generate attrs classes from the thrift schema.

The thrift compiler's own Python output has plain classes; this generator
reads the schema with thriftpy2's parser and writes attrs classes that the
accelerated protocols of the `thrift` package encode and decode directly.
"""

import re
import subprocess
import sys
import textwrap
from pathlib import Path

from thriftpy2.parser import parse
from thriftpy2.thrift import TType

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIRECTORY = ROOT / "schema"
TARGET_DIRECTORY = ROOT / "galenascale" / "generated"
# Generated modules by schema. The gateway's messages are apart, so that it
# starts without loading all others.
TARGETS_BY_SCHEMA = {
    "galenascale.thrift": "messages.py",
    "gateway.thrift": "gateway_messages.py",
}

SCALARS = {
    TType.BOOL: ("bool", "BOOL", "False"),
    TType.DOUBLE: ("float", "DOUBLE", "0.0"),
    TType.I32: ("int", "I32", "0"),
    TType.I64: ("int", "I64", "0"),
    TType.STRING: ("str", "STRING", '""'),
    TType.BINARY: ("bytes", "STRING", 'b""'),
}

HEADER = '''"""Messages, records and settings of galenascale.

Generated from schema/{schema} by tools/generate.py. Do not edit.
"""

import enum

import attrs
from thrift.Thrift import TType

'''


def read_docs(text):
    """Return doc comments by the struct, enum or field they precede."""
    docs = {}
    pattern = re.compile(
        r"/\*\*(?P<doc>(?:(?!\*/).)*)\*/\s*"
        r"(?:(?P<kind>struct|enum)\s+(?P<name>\w+)|\d+:\s*[\w<>, ]+\s(?P<field>\w+))"
        r"|(?:struct|enum)\s+(?P<plain>\w+)",
        re.S,
    )
    current = ""
    for match in pattern.finditer(text):
        current = match["name"] or match["plain"] or current
        if match["doc"] is None:
            continue
        lines = [line.strip(" *\t") for line in match["doc"].strip().splitlines()]
        key = (current, match["field"]) if match["field"] else current
        docs[key] = " ".join(line for line in lines if line)
    return docs


def describe(kind, args):
    """Return (annotation, thrift type, spec arguments, default) of a type."""
    if kind in SCALARS:
        annotation, name, default = SCALARS[kind]
        spec = {"str": "'UTF8'", "bytes": "'BINARY'"}.get(annotation, "None")
        return annotation, name, spec, default
    if kind == TType.STRUCT:
        name = args.__name__
        return name, "STRUCT", f"[{name}, {name}.thrift_spec]", f"F:{name}"
    if kind == TType.LIST:
        element, element_args = args if isinstance(args, tuple) else (args, None)
        annotation, name, spec, _ = describe(element, element_args)
        return (
            f"list[{annotation}]",
            "LIST",
            f"(TType.{name}, {spec}, False)",
            "F:list",
        )
    if kind == TType.MAP:
        parts = []
        for part in args:
            element, element_args = part if isinstance(part, tuple) else (part, None)
            parts.append(describe(element, element_args))
        (key, key_type, key_spec, _), (value, value_type, value_spec, _) = parts
        spec = (
            f"(TType.{key_type}, {key_spec}, TType.{value_type}, {value_spec}, False)"
        )
        return f"dict[{key}, {value}]", "MAP", spec, "F:dict"
    raise ValueError(f"type {kind} is not supported")


def wrap(text, indent):
    """Return a docstring of the text within 79 columns."""
    lines = textwrap.wrap(text, 79 - indent - 6)
    pad = " " * indent
    if len(lines) == 1:
        return f'{pad}"""{lines[0]}"""\n'
    return pad + '"""' + f"\n{pad}".join(lines) + f'\n{pad}"""\n'


def render_struct(struct, docs):
    """Return the source of one attrs class and its thrift specification."""
    name = struct.__name__
    out = ["@attrs.define", f"class {name}:"]
    doc = docs.get(name) or " ".join(re.findall("[A-Z][a-z0-9]*", name)) + " message."
    out.append(wrap(doc, 4))
    defaults = dict(struct.default_spec)
    specs = {}
    for number, field in sorted(struct.thrift_spec.items()):
        kind, field_name = field[0], field[1]
        args = field[2] if len(field) == 4 else None
        annotation, type_name, spec, default = describe(kind, args)
        given = defaults.get(field_name)
        if given is not None and not default.startswith("F:"):
            default = repr(given.encode() if annotation == "bytes" else given)
        comment = docs.get((name, field_name))
        metadata = f"metadata={{'doc': {comment!r}}}" if comment else ""
        if default.startswith("F:"):
            arguments = f"factory={default[2:]}"
        else:
            arguments = f"default={default}"
        joined = ", ".join(filter(None, [arguments, metadata]))
        out.append(f"    {field_name}: {annotation} = attrs.field({joined})")
        specs[number] = f"(TType.{type_name}, '{field_name}', {spec}, None)"
    out.append("")
    out.append("    def write(self, oprot):")
    out.append('        """Write the message to a thrift protocol."""')
    out.append(
        "        oprot.trans.write(oprot._fast_encode(self, [type(self), "
        "self.thrift_spec]))"
    )
    out.append("")
    out.append("")
    rows = [
        f"    ({number}, {specs[number][1:]}," if number in specs else "    None,"
        for number in range(max(specs, default=0) + 1)
    ]
    out.append(f"{name}.thrift_spec = (")
    out.extend(rows)
    out.append(")")
    return "\n".join(out) + "\n\n\n"


def render_enum(kind, docs):
    """Return the source of one IntEnum."""
    name = kind.__name__
    out = [f"class {name}(enum.IntEnum):"]
    out.append(wrap(docs.get(name) or "Kinds of log records.", 4))
    out.extend(f"    {key} = {value}" for key, value in kind._NAMES_TO_VALUES.items())
    return "\n".join(out) + "\n\n\n"


def render(schema):
    """Return the whole module generated from a schema file, formatted."""
    path = SCHEMA_DIRECTORY / schema
    module = parse(str(path), module_name=f"{path.stem}_thrift")
    docs = read_docs(path.read_text())
    meta = module.__thrift_meta__
    source = HEADER.replace("{schema}", schema)
    source += "".join(render_enum(kind, docs) for kind in meta["enums"])
    source += "".join(render_struct(struct, docs) for struct in meta["structs"])
    command = [sys.executable, "-m", "ruff", "format", "--isolated", "-"]
    result = subprocess.run(
        command, input=source, text=True, capture_output=True, check=True
    )
    return result.stdout


def main():
    """Write the modules, or with --check compare them with committed ones."""
    for schema, target in TARGETS_BY_SCHEMA.items():
        text = render(schema)
        path = TARGET_DIRECTORY / target
        if "--check" not in sys.argv[1:]:
            path.write_text(text)
        elif path.read_text() != text:
            sys.exit(f"{target} is not current: run make generate")


if __name__ == "__main__":
    main()
