"""Names, formats and calls of the users' platform.

This package translates between the platform's wire formats and the types of
`galenascale.gateway`. It decides nothing, and no other module knows a name of
the platform.
"""
