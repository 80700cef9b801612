"""Totals in a report of the users' bench, to compare with the logs."""

import attrs
import orjson


@attrs.frozen
class Totals:
    """Requests and items that a day asked for, and those not in time."""

    owed: int
    lost: int


def read_totals(path):
    """Return the Totals of a report in JSON."""
    with open(path, "rb") as file:
        everything = orjson.loads(file.read())["all"]
    owed = everything["n"] - everything["not_owed"]
    return Totals(owed, owed - everything["in_aim"])
