"""`galenascale check`: validate settings or declarations."""

from pathlib import Path

from galenascale import declarations
from galenascale.settings import load_settings
from galenascale.settings_files import read_json


def check(path: str):
    """
    Validate a settings file, a declaration file or a directory of them.

    Parameters
    ----------
    path
        File or directory. References are checked only in a directory, as one
        file need not hold all declarations.
    """
    if Path(path).is_dir():
        entries = declarations.read_directory(path)
        print(f"{path}: {len(entries)} declarations are valid")
        return
    content = read_json(path)
    if isinstance(content, dict) and "kind" not in content:
        load_settings(path)
        print(f"{path}: settings are valid")
        return
    entries = declarations.read_file(path)
    print(f"{path}: {len(entries)} declarations are valid")
