"""Drivers of client connections: accepting, reading, answering and draining.

A client's message is a call until it is submitted to the exchange, and a request afterwards. The states of a
connection, which may overlap:

- idle: no answer is pending or unsent; `IdleSessions` may close it to accept a new connection.
- at rest: no answer is pending, the client's system has received all answers, and no received byte is unread.
- quiet: nothing is pending, and the client is up to date and not new, so that ending it loses no request.
- silent: no byte was ever received.
- stalled: the client does not read its answers.
- lingering: this side has ended it, and reads on until the client closes it.
"""
