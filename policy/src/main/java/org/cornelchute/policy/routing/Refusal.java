package org.cornelchute.policy.routing;

/** Reasons why a caller gets no response to its request. */
public enum Refusal {
  /** The request did not run and never will. */
  NOT_RUN,
  /** The workspace exceeds its rate limit; the request did not run. */
  RATE_LIMITED,
  /** It is unknown whether the request ran. */
  OUTCOME_UNKNOWN,
  /** The idempotency key was already used for a different request; this request did not run. */
  KEY_REUSED
}
