"""What routing decisions rest on: their events and actions, the state of members and requests, load estimators.

Nothing here decides; `paddlequay.policy` does. docs/fleet.md describes how routers that share nothing act as one.
"""
