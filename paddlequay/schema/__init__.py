"""Settings files in protobuf text format: their schema, and readers that check every field."""
