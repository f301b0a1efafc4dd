package org.cornelchute.net.store;

import java.util.Random;

/** Delays between retries of failed requests to the store, exponential and with jitter. */
public final class Backoff {

  private static final long INITIAL_MILLIS = 60;
  private static final long MAX_MILLIS = 500;

  private final Random random;
  private long nextMillis;

  /** Creates a backoff without failures; {@code seed} is the seed of the jitter. */
  public Backoff(long seed) {
    this.random = new Random(seed);
  }

  /** Returns whether a request has failed since the last success. */
  public boolean isActive() {
    return nextMillis > 0;
  }

  /** Records a failure and returns the delay of the next retry in milliseconds. */
  public long onFailure() {
    long current = Math.max(INITIAL_MILLIS, nextMillis);
    nextMillis = Math.min(MAX_MILLIS, current * 2);
    return current / 2 + random.nextLong(current);
  }

  /** Records a success. */
  public void reset() {
    nextMillis = 0;
  }
}
