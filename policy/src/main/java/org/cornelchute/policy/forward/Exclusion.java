package org.cornelchute.policy.forward;

/** Reason for which an endpoint cannot take a new call. */
public enum Exclusion {
  /** The endpoint can take the call. */
  NONE("can take the call"),
  /** The endpoint is no longer listed, and others have room or its time to come back is over. */
  NOT_LISTED("no longer listed"),
  /** The endpoint said that it leaves, or asked for a pause that has not ended. */
  PAUSED("leaves, or asked for a pause"),
  /** The endpoint is listed as draining. */
  DRAINING("draining"),
  /** The failure domain receives no calls. */
  DOMAIN_EVACUATED("failure domain is out of service"),
  /** Route or workspace are bound to other regions. */
  REGION("region not allowed"),
  /** The engine holds no weights. */
  NO_WEIGHTS("no weights loaded"),
  /** The engine holds a version of the weights on which calls may not start any more. */
  OLD_WEIGHTS("superseded weights"),
  /** The engine is about to load another version of the weights. */
  SWITCHING_WEIGHTS("about to switch weights"),
  /** The endpoint failed lately, and others have not. */
  BACKOFF("in backoff after a failure"),
  /** The endpoint is cold, and the share of this entry of its calls is used up. */
  COLD("cold, no calls left for this entry"),
  /** The share of this entry of the limit that the endpoint names is used up. */
  LIMIT("limit of the endpoint reached"),
  /** The endpoint gets one call at a time after its pause. */
  TRIAL_AFTER_PAUSE("one call at a time after a pause"),
  /** The load per slot has reached the maximum for the call. */
  FULL("no free slot");

  private final String text;

  Exclusion(String text) {
    this.text = text;
  }

  /** Returns the reason in words. */
  public String text() {
    return text;
  }
}
