package org.cornelchute.core.outcome;

import java.util.Objects;

/**
 * An expected failure, returned as the left side of an {@code Either}.
 *
 * @param code stable machine-readable cause, never null
 * @param message what happened and what the reader can do about it, never null
 */
public record Failure(Code code, String message) {

  /** Causes that a caller can distinguish and act on. */
  public enum Code {
    /** The input was rejected before any action was taken. */
    INVALID,
    /** The requested object does not exist. */
    NOT_FOUND,
    /** A compare-and-set failed because another writer was first; nothing was written. */
    CONFLICT,
    /** The action certainly had no effect on the remote side. */
    UNAVAILABLE,
    /** The action may or may not have had an effect on the remote side. */
    UNKNOWN
  }

  /** Requires both components to be non-null. */
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(message, "message");
  }

  /** Returns a failure for input that was rejected. */
  public static Failure invalid(String message) {
    return new Failure(Code.INVALID, message);
  }

  /** Returns a failure for an action that may or may not have had an effect. */
  public static Failure unknown(String message) {
    return new Failure(Code.UNKNOWN, message);
  }

  /** Returns a failure for an action that certainly had no effect. */
  public static Failure unavailable(String message) {
    return new Failure(Code.UNAVAILABLE, message);
  }
}
