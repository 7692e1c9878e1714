"""State machines of the protocols: fed bytes, they give messages back; they know no socket."""
