package org.cornelchute.net.util;

import java.util.concurrent.TimeUnit;

/**
 * Spreads bytes over time so that a link's rate is kept; each call reserves the next free slot.
 *
 * <p>Thread-safe.
 */
public final class LinkLimiter {

  private final double bytesPerNano;
  private long nextFreeNanos = System.nanoTime();

  /** Creates a limiter; a rate of 0 means no limit. */
  public LinkLimiter(long bytesPerSecond) {
    this.bytesPerNano = (double) bytesPerSecond / TimeUnit.SECONDS.toNanos(1);
  }

  /** Reserves room for some bytes and returns when they are through, in nanoseconds from now. */
  public synchronized long reserve(long bytes) {
    if (bytesPerNano <= 0) {
      return 0;
    }
    long now = System.nanoTime();
    nextFreeNanos = Math.max(nextFreeNanos, now) + (long) (bytes / bytesPerNano);
    return nextFreeNanos - now;
  }
}
