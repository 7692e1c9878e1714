"""Stand-ins for the platform around the project's programs, which use the standard library alone.

They follow PROTOCOL: a server answers what it can, drops purged copies in the time that the pages allow, and
runs a charge once for each request that reaches it. Every address is on loopback.
"""
