"""Persistent storage: records with checksums, replaced atomically."""
