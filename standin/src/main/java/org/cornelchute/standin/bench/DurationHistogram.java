package org.cornelchute.standin.bench;

import org.HdrHistogram.Histogram;

/**
 * Thread-safe histogram of durations, which are recorded in microseconds and reported in
 * milliseconds.
 */
final class DurationHistogram {

  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final Histogram histogram = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

  synchronized void recordMicros(long micros) {
    histogram.recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  synchronized double percentileMillis(double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  synchronized long count() {
    return histogram.getTotalCount();
  }
}
