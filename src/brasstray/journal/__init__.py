"""Keep a data centre's journal of key bindings, answers and fences."""
