"""Parsing of whole numbers that other programs send as text."""

# Larger numbers mean nothing here, and converting text of any length takes
# quadratic time.
MAX_DIGITS = 18


def parse_whole_number(text):
    """
    Return the number of at least 0 in bytes or a string, or None.

    Only ASCII digits count, with white space around them, MAX_DIGITS at most.
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
