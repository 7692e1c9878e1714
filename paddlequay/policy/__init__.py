"""Every decision of a router for a two-tier cache. Its types, events and actions: `paddlequay/interface.py`.

Ordinary path (Owl's hot-cold policy, companion hashes; docs/design.md): the edge is a hash of object and
part, a miss is filled by way of the hashed parent, a sibling seen holding the object comes first, hot objects
take the top rank and cold ones the lowest. All else here says what happens when that path fails.
"""

from paddlequay.policy.router import Router as Router
