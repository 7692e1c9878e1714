"""What routing decisions rest on: events and actions, the state of members and requests, load estimators.

Nothing here decides; `paddlequay.policy` does. How routers that share nothing act as one: docs/fleet.md.
"""
