package org.cornelchute.policy.forward;

import java.util.Set;
import org.cornelchute.policy.load.EndpointLoad;

/**
 * Head of a response from an endpoint, reduced to what decisions depend on.
 *
 * @param status HTTP status
 * @param notExecuted whether the endpoint states that it did not execute the call
 * @param instanceMismatch whether the endpoint states that it is not the expected instance or does
 *     not hold the expected version
 * @param signed whether the response carries the signature of the endpoint; a success response
 *     without it is treated as lost
 * @param endsOnClose whether only the close of the connection ends the response
 * @param version version of the weights that produce the response, 0 if not reported
 * @param load load that the endpoint states, never null
 * @param limit limit of calls that the endpoint names, never null
 */
public record ResponseHead(
    int status,
    boolean notExecuted,
    boolean instanceMismatch,
    boolean signed,
    boolean endsOnClose,
    long version,
    EndpointLoad load,
    NamedLimit limit) {

  static final int STATUS_SERVICE_UNAVAILABLE = 503;

  /** Statuses that tell callers that a call was not executed: 408, 429 and 503. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES =
      Set.of(408, 429, STATUS_SERVICE_UNAVAILABLE);

  private static final int STATUS_OK = 200;
  private static final int STATUS_MULTIPLE_CHOICES = 300;

  /**
   * Creates a head that states no slots and no speed.
   *
   * @param running number of calls that the endpoint runs, negative if it states no load
   */
  ResponseHead(
      int status,
      boolean notExecuted,
      boolean instanceMismatch,
      boolean signed,
      boolean endsOnClose,
      long version,
      int running,
      int queued,
      NamedLimit limit) {
    this(
        status,
        notExecuted,
        instanceMismatch,
        signed,
        endsOnClose,
        version,
        running < 0 ? EndpointLoad.ABSENT : EndpointLoad.of(running, queued, 0),
        limit);
  }

  /**
   * Returns whether callers would take the status for a promise that the call was not executed,
   * which the endpoint does not make.
   */
  boolean impliesUnprovenRefusal() {
    return !notExecuted && NOT_EXECUTED_STATUSES.contains(status);
  }

  /** Returns whether the status is a success (2xx). */
  boolean isSuccess() {
    return status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES;
  }
}
