package org.cornelchute.policy.forward;

import org.cornelchute.core.log.Decision;

/** An action that a {@link CallDecider} requests from its duty. */
public sealed interface CallEffect {

  /** Returns the number of the call that the action concerns, 0 if none. */
  default long call() {
    return 0;
  }

  /**
   * Send a call to an endpoint.
   *
   * @param call number of the call
   * @param attempt number of the attempt, from 1
   * @param endpoint destination
   * @param maxConnections maximum number of connections from this entry to the endpoint
   * @param remainingMillis time until the deadline of the call
   * @param priority rank of the call; 0 is served first
   * @param workspace workspace that the call is accounted to, empty if none
   * @param expectedVersion version of the weights that the endpoint must hold, 0 for any
   * @param resumeAfterEventId id of the last event that was delivered, negative to start the stream
   *     from its beginning
   * @param backup whether the current attempt of the call goes on beside this one
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
      long resumeAfterEventId,
      boolean backup)
      implements CallEffect {}

  /** Send the caller a final response that the entry produces. */
  record Reject(long call, Rejection rejection, long retryAfterMillis, String reason)
      implements CallEffect {}

  /** Let the backup attempt of a call replace its current one, which has failed or is canceled. */
  record PromoteBackup(long call, int attempt) implements CallEffect {}

  /** Start to forward the events of an attempt as they arrive. */
  record StartStream(long call, int attempt) implements CallEffect {}

  /** Send the caller the complete response of an attempt; for a stream, end it. */
  record Complete(long call, int attempt) implements CallEffect {}

  /** Abort a response that has started, so that the caller detects that it is truncated. */
  record AbortResponse(long call, String reason) implements CallEffect {}

  /** Cancel an attempt and close its exchange with the endpoint. */
  record CancelAttempt(long call, int attempt) implements CallEffect {}

  /**
   * Keep a part of prompts in the store for entries that start later.
   *
   * @param crashCount number of crashes that block the part, 0 if it was cleared
   */
  record StoreBlockedPart(long part, int crashCount) implements CallEffect {}

  /**
   * Write a decision to the decision log.
   *
   * @param call number of the call that it concerns, 0 if none
   */
  record Log(long call, Decision decision) implements CallEffect {}
}
