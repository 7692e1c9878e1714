"""Settings files in protobuf text format: the schema, and readers that validate every field."""
