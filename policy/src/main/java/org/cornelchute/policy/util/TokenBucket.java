package org.cornelchute.policy.util;

/** A token bucket rate limiter; times are in milliseconds on the clock of the caller. */
public final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1000.0;

  private double perSecond;
  private double burst;
  private double tokens;
  private long lastRefill;

  /**
   * Creates a full bucket.
   *
   * @param perSecond tokens added per second
   * @param burst capacity in tokens
   */
  public TokenBucket(double perSecond, double burst, long now) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.tokens = burst;
    this.lastRefill = now;
  }

  /** Changes rate and burst; tokens above the new burst are discarded. */
  public void updateLimits(double newPerSecond, double newBurst) {
    perSecond = newPerSecond;
    burst = newBurst;
    tokens = Math.min(tokens, burst);
  }

  /** Adds tokens, up to the burst. */
  public void add(double amount) {
    tokens = Math.min(burst, tokens + amount);
  }

  /** Refills the bucket and returns whether it holds at least {@code amount} tokens. */
  public boolean hasTokens(double amount, long now) {
    tokens =
        Math.min(burst, tokens + Math.max(0, now - lastRefill) * perSecond / MILLIS_PER_SECOND);
    lastRefill = Math.max(lastRefill, now);
    return tokens >= amount;
  }

  /** Takes {@code amount} tokens if the bucket holds them; returns whether it did. */
  public boolean tryTake(double amount, long now) {
    if (!hasTokens(amount, now)) {
      return false;
    }
    tokens -= amount;
    return true;
  }
}
