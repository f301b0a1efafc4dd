package org.cornelchute.policy.forward;

/** What may be repeated of the calls of one route. */
public enum CallKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** Runs at most once for each call. */
  NON_IDEMPOTENT,
  /** Answers with events; runs at most once unless the route lets streams be resumed. */
  STREAM
}
