"""What hosts tell each other: messages, codec and byte budget."""
