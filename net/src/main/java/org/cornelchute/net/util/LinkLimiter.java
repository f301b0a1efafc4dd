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
  public long reserve(long bytes) {
    return reserveInterval(bytes).endNanos();
  }

  /** Reserves the interval in which a number of bytes is transmitted. */
  public synchronized Interval reserveInterval(long bytes) {
    if (bytesPerNano <= 0) {
      return new Interval(0, 0);
    }
    long now = System.nanoTime();
    long start = Math.max(nextFreeNanos, now);
    nextFreeNanos = start + (long) (bytes / bytesPerNano);
    return new Interval(start - now, nextFreeNanos - now);
  }

  /**
   * An interval of transmission time; both bounds are 0 if there is no limit.
   *
   * @param startNanos nanoseconds from now until the link is free for the bytes
   * @param endNanos nanoseconds from now until the bytes are transmitted
   */
  public record Interval(long startNanos, long endNanos) {}
}
