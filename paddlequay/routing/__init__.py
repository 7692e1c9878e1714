"""The interface of the routing decisions and the state that several of their rules share.

The rules themselves are in `paddlequay.policy`.
"""
