"""The rules of the decision core, one module per concern."""
