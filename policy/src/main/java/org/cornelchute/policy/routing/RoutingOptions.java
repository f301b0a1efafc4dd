package org.cornelchute.policy.routing;

/**
 * Limits of an entry's routing; immutable.
 *
 * @param queueCapacity requests that may wait in the entry for one target
 * @param maxWaitMillis longest time that a new request waits for room; a queue that stands longer
 *     makes every answer late without more answers
 * @param noEndpointTimeoutMillis time that a request waits for an endpoint when none serves its
 *     target
 * @param subsetSize endpoints of one target that an entry uses
 * @param retryRatio retries that reach an endpoint, as a share of fresh requests
 * @param maxAttempts attempts at one request that reach an endpoint
 * @param sealTimeoutMillis time that an entry tries to learn the fate of a request
 * @param maxBufferedBytes answers that are not streams are held back up to this size, so that a
 *     retry stays invisible
 * @param strategy how one of the endpoints with room is chosen
 */
public record RoutingOptions(
    int queueCapacity,
    long maxWaitMillis,
    long noEndpointTimeoutMillis,
    int subsetSize,
    double retryRatio,
    int maxAttempts,
    long sealTimeoutMillis,
    int maxBufferedBytes,
    Strategy strategy) {

  /** Values for a small installation. */
  public static final RoutingOptions DEFAULTS =
      new RoutingOptions(512, 1_000, 2_000, 32, 0.1, 4, 5_000, 1 << 20, Strategy.AFFINITY);

  /** Ways to choose one of the endpoints with room. */
  public enum Strategy {
    /** One after the other. */
    ROUND_ROBIN,
    /** The one with the least outstanding work. */
    LEAST_OUTSTANDING,
    /** The better of two random ones and the one that last served the same prefix. */
    AFFINITY
  }
}
