package org.cornelchute.policy.forward;

/** Final responses that the entry produces instead of an endpoint. */
public enum Rejection {
  /** Configuration or endpoints are not known, or the configuration is too old. */
  NOT_READY(true),
  /** No route matches the call. */
  UNKNOWN_ROUTE(true),
  /** The key belongs to no workspace. */
  UNKNOWN_KEY(true),
  /** All eligible endpoints are overloaded, or no attempts, time or retry budget are left. */
  OVERLOADED(true),
  /** No endpoint is eligible to serve the call. */
  NO_ENDPOINT(true),
  /** A part of the prompt crashes endpoints. */
  BLOCKED_PROMPT(true),
  /** The deadline passed before the call was sent to an endpoint. */
  EXPIRED_UNSENT(true),
  /** The deadline passed after the call was sent to an endpoint. */
  EXPIRED_SENT(false),
  /** The call was sent to an endpoint, but its response was lost. */
  ANSWER_LOST(false);

  private final boolean guaranteesNotExecuted;

  Rejection(boolean guaranteesNotExecuted) {
    this.guaranteesNotExecuted = guaranteesNotExecuted;
  }

  /** Returns whether the call is guaranteed not to have been executed. */
  public boolean guaranteesNotExecuted() {
    return guaranteesNotExecuted;
  }
}
