"""Small stand-ins for the platform, the fabric, targets and callers."""
