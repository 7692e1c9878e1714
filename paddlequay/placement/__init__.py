"""Placement of objects on members, by hashing or by rules of the operator; used by routers and tiers."""
