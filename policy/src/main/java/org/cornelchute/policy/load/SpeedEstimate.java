package org.cornelchute.policy.load;

/**
 * Estimate of the factor by which work takes longer than normal at one endpoint.
 *
 * <p>Samples are the speeds in responses to this entry, and what other entries report. They are
 * averaged with an assumed normal speed of a constant weight: a single sample is weak evidence, and
 * as all samples age the estimate returns to 1.
 */
public final class SpeedEstimate {

  /** Factor of an endpoint that works at its normal speed. */
  public static final double NORMAL = 1;

  static final double MIN_SLOWDOWN = 0.25;
  static final double MAX_SLOWDOWN = 16;

  /** Age from which samples do not count at all. */
  static final long MAX_AGE_MILLIS = 1_500;

  /** Weight of the assumed normal speed, in samples. */
  private static final double NORMAL_WEIGHT = 0.5;

  /** Difference, as a fraction, from which a speed counts as another one. */
  private static final double MIN_CHANGE = 0.1;

  /** Interval at which a speed that is not normal is reported again. */
  private static final long REPORT_INTERVAL_MILLIS = 300;

  /**
   * Weight of the reports of others, in samples, from which an own speed is worth contradicting.
   */
  private static final double MIN_DISPUTED_WEIGHT = 0.3;

  private static final long NEVER = Long.MIN_VALUE / 4;

  private final DecayingMean own = new DecayingMean();
  private final DecayingMean reported = new DecayingMean();

  /** Time of the last sample of this entry or of another one. */
  private long sampledAt = NEVER;

  /** Time of the last response to this entry that stated a speed. */
  private long respondedAt = NEVER;

  private double lastSent = NORMAL;
  private long lastSentAt = NEVER;

  SpeedEstimate() {}

  /** Records the factor that a response to this entry states. */
  void recordResponse(long now, double slowdown) {
    own.add(now, clamp(slowdown), 0);
    respondedAt = now;
    sampledAt = now;
  }

  /** Records the factor that another entry reports, with the age of the response behind it. */
  void recordReport(long now, double slowdown, long ageMillis) {
    reported.add(now, clamp(slowdown), ageMillis);
    sampledAt = Math.max(sampledAt, now - ageMillis);
  }

  /** Returns the estimated factor, 1 if nothing is known. */
  public double slowdown(long now) {
    if (now - sampledAt >= MAX_AGE_MILLIS) {
      return NORMAL;
    }
    double ownWeight = own.weightAt(now);
    double reportedWeight = reported.weightAt(now);
    // Exactly 1 if all samples are, so that endpoints of normal speed compare by their load alone.
    double excess = (own.mean() - 1) * ownWeight + (reported.mean() - 1) * reportedWeight;
    return NORMAL + excess / (ownWeight + reportedWeight + NORMAL_WEIGHT);
  }

  /** Returns the mean factor of the responses to this entry. */
  double ownMean() {
    return own.mean();
  }

  /** Returns the time since the last response to this entry that stated a speed. */
  long ageMillis(long now) {
    return now - respondedAt;
  }

  /** Returns whether the responses to this entry should be reported to the other entries. */
  boolean isReportable(long now) {
    boolean changed = differ(own.mean(), lastSent);
    boolean repeated =
        differ(own.mean(), NORMAL)
            && respondedAt > lastSentAt
            && now - lastSentAt >= REPORT_INTERVAL_MILLIS;
    boolean disputed =
        reported.weightAt(now) >= MIN_DISPUTED_WEIGHT
            && differ(own.mean(), reported.mean())
            && now - lastSentAt >= REPORT_INTERVAL_MILLIS;
    return (changed || repeated || disputed) && now - respondedAt < MAX_AGE_MILLIS;
  }

  /** Records that the responses to this entry are reported to the other entries. */
  void recordSent(long now) {
    lastSent = own.mean();
    lastSentAt = now;
  }

  private static boolean differ(double one, double other) {
    return Math.abs(one - other) > MIN_CHANGE * Math.max(one, other);
  }

  private static double clamp(double slowdown) {
    return Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, slowdown));
  }
}
