"""The rules by which a router of a two-tier cache decides; each rule is a module named for it.

`Router` takes the events and returns the actions that `routing/interface.py` defines. docs/design.md
describes the ordinary path of a request, docs/decisions.md lists the rules.
"""

from paddlequay.policy.router import Router as Router
