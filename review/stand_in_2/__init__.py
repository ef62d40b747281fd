"""Stand-ins of the platform, of database servers and of clients, for the cases beside this folder."""
