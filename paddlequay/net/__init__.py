"""Thin drivers between sockets and the state machines, one module a peer."""
