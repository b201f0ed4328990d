"""Who may call, how long that is known, and how much each organisation may use."""
