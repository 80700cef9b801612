"""Totals in a report of the load test, to compare with the logs."""

import attrs
import orjson


@attrs.frozen
class Totals:
    """Numbers of requests and items owed, and of those not in time."""

    owed: int
    lost: int


def read_totals(path):
    """Return the Totals of a JSON report."""
    with open(path, "rb") as file:
        everything = orjson.loads(file.read())["all"]
    owed = everything["n"] - everything["not_owed"]
    return Totals(owed, owed - everything["in_aim"])
