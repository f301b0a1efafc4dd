package org.cornelchute.net.util;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of bytes on a link. Each call reserves the next free interval of transmission
 * time.
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

  /**
   * Reserves transmission time for a number of bytes.
   *
   * @return nanoseconds from now until the bytes are transmitted, 0 if there is no limit
   */
  public synchronized long reserve(long bytes) {
    if (bytesPerNano <= 0) {
      return 0;
    }
    long now = System.nanoTime();
    nextFreeNanos = Math.max(nextFreeNanos, now) + (long) (bytes / bytesPerNano);
    return nextFreeNanos - now;
  }
}
