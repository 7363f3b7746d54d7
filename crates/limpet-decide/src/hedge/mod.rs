//! Hedged attempts within a budget.
