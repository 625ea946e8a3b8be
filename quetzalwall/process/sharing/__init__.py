"""Division of slots between instances: ledger, loans, holders, leases."""
