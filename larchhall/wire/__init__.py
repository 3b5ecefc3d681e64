"""What is spoken: parsers and encoders that know no socket, and the asyncio protocol classes on
top.
"""
