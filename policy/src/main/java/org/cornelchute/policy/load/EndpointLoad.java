package org.cornelchute.policy.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load that an endpoint states in a response.
 *
 * @param kind whether the response states a load
 * @param running number of calls that the endpoint runs, 0 if no load is stated
 * @param queued number of calls that are queued at the endpoint, 0 if no load is stated
 * @param slots number of calls that the endpoint runs concurrently, 0 if no load is stated
 * @param speed time that work takes in percent of the normal time, 0 if not stated
 */
public record EndpointLoad(Kind kind, int running, int queued, int slots, double speed) {

  /** The response states no load. */
  public static final EndpointLoad ABSENT = new EndpointLoad(Kind.ABSENT, 0, 0, 0, 0);

  /** The response states a load that cannot be read. */
  public static final EndpointLoad UNREADABLE = new EndpointLoad(Kind.UNREADABLE, 0, 0, 0, 0);

  private static final double MAX_SPEED = 10_000;
  private static final double NORMAL_SPEED = 100;

  /** Counts without sign and an optional decimal number; lengths are bounded to avoid overflows. */
  private static final Pattern VALUES =
      Pattern.compile(
          "([0-9]{1,9})[ \t]*,[ \t]*([0-9]{1,9})[ \t]*,[ \t]*([0-9]{1,9})"
              + "(?:[ \t]*,[ \t]*([0-9]{1,9}(?:\\.[0-9]{1,9})?))?");

  /** Whether a response states a load. */
  public enum Kind {
    ABSENT,
    STATED,
    UNREADABLE
  }

  /** Returns a load without a speed. */
  public static EndpointLoad of(int running, int queued, int slots) {
    return new EndpointLoad(Kind.STATED, running, queued, slots, 0);
  }

  /**
   * Reads a load.
   *
   * @param text running calls, queued calls, slots and optionally the speed, separated by commas;
   *     null if the response states no load
   */
  public static EndpointLoad parse(String text) {
    if (text == null) {
      return ABSENT;
    }
    Matcher values = VALUES.matcher(text.strip());
    if (!values.matches()) {
      return UNREADABLE;
    }
    double speed = 0;
    if (values.group(4) != null) {
      speed = Double.parseDouble(values.group(4));
      if (speed <= 0 || speed > MAX_SPEED) {
        return UNREADABLE;
      }
    }
    return new EndpointLoad(
        Kind.STATED,
        Integer.parseInt(values.group(1)),
        Integer.parseInt(values.group(2)),
        Integer.parseInt(values.group(3)),
        speed);
  }

  /** Returns whether the response states a load. */
  public boolean isStated() {
    return kind == Kind.STATED;
  }

  /** Returns whether the response states a load with a speed. */
  public boolean hasSpeed() {
    return speed > 0;
  }

  /** Returns the factor by which work takes longer than normal; only valid with a speed. */
  public double slowdown() {
    return speed / NORMAL_SPEED;
  }
}
