package org.cornelchute.policy.forward;

import java.util.List;

/**
 * One route of the configuration in force.
 *
 * @param name name in logs, never null
 * @param host host that callers name, lower case
 * @param pathPrefix beginning of the paths that it takes
 * @param kind what may be repeated
 * @param resumable whether a stream may go on at another endpoint
 * @param timeoutMillis longest time until the final answer
 * @param targetLatencyMillis time until the answer, or its first event, that callers aim at
 * @param priority rank, 0 is served first
 * @param maxAttempts endpoints that one call may be sent to
 * @param anonymous whether callers need no key
 * @param regions regions whose endpoints may serve it; empty for all
 * @param services services that share its calls, never empty
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
   * A service's part of a route.
   *
   * @param service name of the service
   * @param weight its part, relative to the others of the route
   */
  public record WeightedService(String service, double weight) {}

  /** Returns whether a call may be sent again although it may have run. */
  public boolean isRetryable() {
    return kind == CallKind.IDEMPOTENT || kind == CallKind.STREAM && resumable;
  }
}
