package org.cornelchute.standin.bench;

import org.HdrHistogram.Histogram;

/** Durations in microseconds with their percentiles in milliseconds; thread-safe. */
final class Samples {

  private static final long HIGHEST_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;

  private final Histogram histogram = new Histogram(HIGHEST_MICROS, DIGITS);

  synchronized void add(long micros) {
    histogram.recordValue(Math.max(0, Math.min(HIGHEST_MICROS, micros)));
  }

  synchronized double millis(double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  synchronized long count() {
    return histogram.getTotalCount();
  }
}
