"""Adapter between the gateway and the platform that it runs on.

This package translates between the platform's wire formats and the types of
`galenascale.gateway` and calls the platform's store. It makes no decisions,
and the platform's names appear in no other module.
"""
