"""The routing decisions: `Router` turns events into actions, both defined in `routing/interface.py`.

Each rule is a module named for it. docs/design.md describes the ordinary path of a request, docs/decisions.md
lists the rules.
"""

from paddlequay.policy.router import Router as Router
