package org.cornelchute.core.log;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Limits the rate of one log message, so that input that is read again does not flood the log;
 * thread-safe.
 */
public final class LogLimiter {

  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final LongSupplier nanoClock;
  private long lastLoggedAt;
  private boolean logged;
  private long suppressed;

  /** Creates a limiter on the clock of the system. */
  public LogLimiter() {
    this(System::nanoTime);
  }

  LogLimiter(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  /**
   * Writes a message unless one was written shortly before.
   *
   * @param message writes the message; receives the number of messages suppressed since the last
   */
  public synchronized void log(LongConsumer message) {
    long now = nanoClock.getAsLong();
    if (logged && now - lastLoggedAt < INTERVAL_NANOS) {
      suppressed++;
      return;
    }
    logged = true;
    lastLoggedAt = now;
    long count = suppressed;
    suppressed = 0;
    message.accept(count);
  }
}
