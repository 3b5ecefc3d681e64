"""Golden tests of what operators write and of what commands print for them."""
