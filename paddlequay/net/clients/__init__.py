"""Drivers of client connections: accepting, reading, answering and draining.

A client's message is a call until it is submitted to the exchange, and a request afterwards. The states of a
connection:

- idle: no answer is owed; `IdleSessions` may close it for a new connection.
- at rest: nothing is owed, unsent or unread.
- quiet: at rest and not new, so that closing it costs no client a request.
- silent: without a byte received.
- stalled: the client does not read its answers.
- lingering: ended by this side, and still reading until the client closes.
"""
