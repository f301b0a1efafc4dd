package org.cornelchute.policy.admission;

/**
 * Limits of an agent's admission control.
 *
 * @param coldLimit concurrent requests allowed at a cold endpoint, which is one that has just
 *     started, changed its generation or slowed down
 * @param warmLimit maximum number of concurrent requests at the endpoint
 * @param completionsPerStep completed requests needed to raise the limit by one
 * @param queueCapacity maximum number of requests queued in the agent
 * @param maxRecordedAnswerBytes maximum size of an answer recorded for replay, for a request that
 *     is not safe to repeat
 * @param outcomeRetentionMillis time for which the outcome of a request that is not safe to repeat,
 *     or the seal of an attempt, is retained
 */
public record AdmissionOptions(
    int coldLimit,
    int warmLimit,
    int completionsPerStep,
    int queueCapacity,
    int maxRecordedAnswerBytes,
    long outcomeRetentionMillis) {

  /** Defaults for an endpoint whose capacity is unknown. */
  public static final AdmissionOptions DEFAULTS =
      new AdmissionOptions(2, 32, 4, 16, 1 << 18, 600_000);
}
