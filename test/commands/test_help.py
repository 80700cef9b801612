"""The list of commands says what each is for."""

import subprocess
import sys

import pytest

from galenascale.commands.cli import _COMMANDS as COMMANDS


def run_python(*arguments):
    """Run Python and return its output."""
    return subprocess.run(
        [sys.executable, *arguments], capture_output=True, text=True, check=True
    ).stdout


@pytest.mark.parametrize("arguments", [(), ("--help",), ("-h",)])
def test_each_command_has_a_line(arguments):
    """Guards newcomers against a bare list of names."""
    output = run_python("-m", "galenascale", *arguments)
    lines = [line.strip("│ ") for line in output.splitlines()]
    for name in COMMANDS:
        (line,) = [line for line in lines if line.split(" ")[0] == name]
        assert len(line.removeprefix(name).split()) >= 3


def test_command_loads_no_other():
    """Guards the start of a host against the imports of other commands."""
    code = (
        "import sys; from galenascale.commands.cli import make_cli; "
        "make_cli(('gateway', '--settings', 'x')); print(*sys.modules)"
    )
    modules = run_python("-c", code).split()
    commands = {name for name in modules if name.startswith("galenascale.commands.")}
    assert commands == {"galenascale.commands.cli"}
