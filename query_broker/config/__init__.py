"""The platform's settings: schema, reading and checking, defaults, reload."""
