"""The endpoint list: its line codec and the client that watches it."""
