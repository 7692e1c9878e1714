"""Thin drivers between sockets and the state machines of the protocols, one module or package per peer."""
