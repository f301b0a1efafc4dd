package org.cornelchute.policy.routing;

/**
 * Routing limits of an entry.
 *
 * @param queueCapacity maximum number of requests queued in the entry for one target
 * @param maxWaitMillis maximum time that a new request is queued for capacity; a longer standing
 *     queue delays every response without raising throughput
 * @param noEndpointTimeoutMillis maximum time that a request is queued while no endpoint serves its
 *     target
 * @param subsetSize maximum number of endpoints of one target that an entry uses
 * @param retryRatio number of retries allowed per new request to the same target
 * @param maxAttempts number of dispatches after which a request with a lost response is not retried
 * @param sealTimeoutMillis maximum time that an entry waits for the answer to a seal
 * @param maxBufferedBytes maximum number of bytes buffered of a response that is not a stream;
 *     until then a retry is invisible to the caller
 * @param strategy how one of the endpoints with capacity is chosen
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

  /** Default values for a small installation. */
  public static final RoutingOptions DEFAULTS =
      new RoutingOptions(512, 1_000, 2_000, 32, 0.1, 4, 5_000, 1 << 20, Strategy.AFFINITY);

  /** Strategies that choose one of the endpoints with capacity. */
  public enum Strategy {
    /** Takes the endpoints in turn. */
    ROUND_ROBIN,
    /** Takes the endpoint with the lowest ratio of estimated requests to its limit. */
    LEAST_OUTSTANDING,
    /**
     * Takes the less loaded of two random endpoints, or the endpoint that last served the same
     * prompt prefix if it is not much more loaded.
     */
    AFFINITY
  }
}
