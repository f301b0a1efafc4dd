package org.cornelchute.core.outcome;

import java.util.Objects;

/**
 * An expected failure, carried as a value on the left side of an {@code Either}.
 *
 * @param code stable machine-readable cause, never null
 * @param message what happened and what the reader can do about it, never null
 */
public record Failure(Code code, String message) {

  /** Causes a caller may act on. */
  public enum Code {
    /** The input was refused before anything was done with it. */
    INVALID,
    /** The named thing does not exist. */
    NOT_FOUND,
    /** A compare-and-set lost against another writer; nothing was written. */
    CONFLICT,
    /** The remote side is certain not to have acted. */
    UNAVAILABLE,
    /** The remote side may or may not have acted. */
    UNKNOWN
  }

  /** Checks that both parts are present. */
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(message, "message");
  }

  /** Describes input that was refused. */
  public static Failure invalid(String message) {
    return new Failure(Code.INVALID, message);
  }

  /** Describes an action whose effect is not known. */
  public static Failure unknown(String message) {
    return new Failure(Code.UNKNOWN, message);
  }

  /** Describes an action that certainly had no effect. */
  public static Failure unavailable(String message) {
    return new Failure(Code.UNAVAILABLE, message);
  }
}
