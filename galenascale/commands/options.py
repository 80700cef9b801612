"""Options shared by several commands."""

from typing import Annotated, Literal

import cyclopts

LogFormat = Annotated[
    Literal["text", "json"],
    cyclopts.Parameter(help="Form of the log lines on stderr."),
]
