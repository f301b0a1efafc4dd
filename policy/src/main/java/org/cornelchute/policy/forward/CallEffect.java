package org.cornelchute.policy.forward;

import org.cornelchute.core.log.Decision;

/** What a {@link CallDecider} asks of its duty. */
public sealed interface CallEffect {

  /**
   * Send a call to an endpoint.
   *
   * @param call number of the call
   * @param attempt number of the attempt, from 1
   * @param endpoint where to
   * @param maxConnections connections that this entry may hold to it
   * @param remainingMillis time that the endpoint is given
   * @param priority rank, 0 is first
   * @param workspace payer that the endpoint is told, empty if none
   * @param expectedVersion version that the endpoint must hold, 0 for any
   * @param resumeAfterEventId last event delivered, negative to begin afresh
   */
  record Dispatch(
      long call,
      int attempt,
      EndpointSpec endpoint,
      int maxConnections,
      long remainingMillis,
      int priority,
      String workspace,
      long expectedVersion,
      long resumeAfterEventId)
      implements CallEffect {}

  /** Give the caller a final answer of the entry's own. */
  record Reject(long call, Rejection rejection, long retryAfterMillis, String reason)
      implements CallEffect {}

  /** Begin to pass the events of an attempt on as they come. */
  record StartStream(long call, int attempt) implements CallEffect {}

  /** Give the caller the whole answer of an attempt; for a stream, end it. */
  record Complete(long call, int attempt) implements CallEffect {}

  /** Break an answer off that has begun, so that the caller sees that it is not whole. */
  record AbortResponse(long call, String reason) implements CallEffect {}

  /** Close an attempt at its endpoint. */
  record CancelAttempt(long call, int attempt) implements CallEffect {}

  /** Write a decision to the log. */
  record Log(Decision decision) implements CallEffect {}
}
