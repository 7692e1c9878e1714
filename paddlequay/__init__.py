"""paddlequay: an edge router for a two-tier cache; `paddlequay.policy.Router` is its routing policy."""
