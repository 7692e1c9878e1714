"""Parsers and formatters of the wire protocols: they work on bytes and messages, and use no sockets."""
