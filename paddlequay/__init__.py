"""paddlequay: an edge router for a two-tier cache; `paddlequay.logic.Router` makes its decisions."""
