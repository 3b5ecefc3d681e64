"""Golden tests of what clients, data engines and the simulator read, byte for byte."""
