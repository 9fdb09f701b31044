"""Control messages between hosts, their codec, and their byte budget."""
