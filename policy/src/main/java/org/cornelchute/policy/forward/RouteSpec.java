package org.cornelchute.policy.forward;

import java.util.List;

/**
 * One route of the current configuration.
 *
 * @param name name in logs, never null
 * @param host host that the route matches, in lower case
 * @param pathPrefix path prefix that the route matches
 * @param kind execution semantics of the calls
 * @param resumable whether a stream may be resumed on another endpoint
 * @param timeoutMillis maximum time until the final response
 * @param targetLatencyMillis target for the time until the response, or its first event
 * @param priority rank; 0 is served first
 * @param maxAttempts maximum number of endpoints that one call may be sent to
 * @param anonymous whether callers need no key
 * @param regions regions whose endpoints may serve the route; empty for all
 * @param services services among which the calls are split, never empty
 */
public record RouteSpec(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    boolean resumable,
    long timeoutMillis,
    long targetLatencyMillis,
    int priority,
    int maxAttempts,
    boolean anonymous,
    List<String> regions,
    List<WeightedService> services) {

  /**
   * A service of a route with its weight.
   *
   * @param service name of the service
   * @param weight share of the calls, relative to the other services of the route
   */
  public record WeightedService(String service, double weight) {}

  /** Returns the share of the calls for which one of the services is picked, from 0 to 1. */
  public double shareOf(WeightedService service) {
    if (services.size() == 1) {
      return 1;
    }
    double totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
    return totalWeight > 0 ? service.weight() / totalWeight : 0;
  }

  /** Returns whether a call may be retried although it may already have been executed. */
  public boolean isRetryable() {
    return kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable;
  }
}
