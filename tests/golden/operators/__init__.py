"""Golden forms of what operators read: HTTP answers, metrics and log lines, byte for byte."""
