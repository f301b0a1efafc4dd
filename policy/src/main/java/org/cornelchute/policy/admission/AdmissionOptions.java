package org.cornelchute.policy.admission;

/**
 * Limits of an agent's admission; immutable.
 *
 * @param coldLimit requests that a cold endpoint carries at once
 * @param warmLimit most requests given to the endpoint at once
 * @param completionsPerStep completed requests before the limit grows by one
 * @param queueCapacity requests that may wait in the agent
 * @param maxRecordedAnswerBytes most bytes kept of the answer to a request that may not be repeated
 * @param outcomeRetentionMillis time that the fate of such a request is remembered
 */
public record AdmissionOptions(
    int coldLimit,
    int warmLimit,
    int completionsPerStep,
    int queueCapacity,
    int maxRecordedAnswerBytes,
    long outcomeRetentionMillis) {

  /** Values for an endpoint of which nothing is known. */
  public static final AdmissionOptions DEFAULTS =
      new AdmissionOptions(2, 32, 4, 16, 1 << 18, 600_000);
}
