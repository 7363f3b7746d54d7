//! Latency that the tier adds, beside a bare client.
