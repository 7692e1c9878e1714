"""Storage that outlives the process: checksummed records, replaced atomically."""
