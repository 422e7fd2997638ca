"""Stand-ins for the platform and upstreams, load tool and test data builders."""
