"""Exchange messages between hosts."""
