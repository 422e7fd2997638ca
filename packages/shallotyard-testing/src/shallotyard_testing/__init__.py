"""Stand-ins, load tool and builders of test data."""
