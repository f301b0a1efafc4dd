package org.cornelchute.policy.load;

/** Mean of samples whose weights decay exponentially with their age. */
final class DecayingMean {

  /** Time constant of the decay; the condition of an endpoint may change every 600 ms. */
  private static final double DECAY_MILLIS = 300;

  /** Maximum weight of all samples before a new one, so that a change shows after a few samples. */
  private static final double MAX_WEIGHT = 3;

  private double mean = 1;
  private double weight;
  private long updatedAt = Long.MIN_VALUE / 4;

  /**
   * Adds a sample.
   *
   * @param ageMillis age of the sample, which reduces its weight; not negative
   */
  void add(long now, double value, long ageMillis) {
    double earlier = Math.min(MAX_WEIGHT, weightAt(now));
    double added = Math.exp(-ageMillis / DECAY_MILLIS);
    mean = (mean * earlier + value * added) / (earlier + added);
    weight = earlier + added;
    updatedAt = now;
  }

  /** Returns the mean of the samples, 1 if there are none. */
  double mean() {
    return mean;
  }

  /** Returns the weight of all samples; a sample of age 0 has a weight of 1. */
  double weightAt(long now) {
    return weight * Math.exp(-Math.max(0, now - updatedAt) / DECAY_MILLIS);
  }
}
