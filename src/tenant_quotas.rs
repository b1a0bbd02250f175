//! Enforces this server's share of each tenant's quota with one token bucket per tenant.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

/// Token buckets, keyed by the index of the tenant.
#[derive(Debug, Default)]
pub(crate) struct TenantQuotas(BTreeMap<usize, TokenBucket>);

impl TenantQuotas {
    /// Takes one token from the tenant's bucket, which is refilled at `rate` tokens per second and has a capacity of
    /// `rate` tokens, or one if that is more. Returns whether a token was available.
    pub(crate) fn take(&mut self, tenant: usize, rate: f64, now: Duration) -> bool {
        let bucket = self.0.entry(tenant).or_insert(TokenBucket { tokens: rate, refilled_at: now });
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * elapsed).min(rate.max(1.0));
        bucket.refilled_at = now;
        let available = bucket.tokens >= 1.0;
        bucket.tokens -= if available { 1.0 } else { 0.0 };
        available
    }
}
