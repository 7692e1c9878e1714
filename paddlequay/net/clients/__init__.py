"""Drivers of client connections: accepting, reading, answering and draining.

A client's message is a call until it is submitted to the exchange, and a request afterwards. The states of a
connection, which may overlap:

- idle: no answer is pending or unsent; `IdleSessions` may close it to accept a new connection.
- at rest: no answer is pending or unsent, and no received byte is unread.
- quiet: at rest and not new, so that closing it loses no client's request.
- silent: no byte was ever received.
- stalled: the client does not read its answers.
- lingering: this side has ended it, and reads on until the client closes it.
"""
