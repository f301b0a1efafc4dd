package org.cornelchute.policy.forward;

import java.util.regex.Pattern;

/**
 * What a response says about the calls that its endpoint takes from all entries together.
 *
 * @param kind whether the response names a limit
 * @param perSecond calls per second, 0 if no limit is named
 */
public record NamedLimit(Kind kind, double perSecond) {

  /** The response names no limit. */
  public static final NamedLimit NONE = new NamedLimit(Kind.NONE, 0);

  /** The response names a limit that cannot be read. */
  public static final NamedLimit UNREADABLE = new NamedLimit(Kind.UNREADABLE, 0);

  /** Decimal number without sign and exponent; its length is bounded so that it stays finite. */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,64}(\\.[0-9]{1,64})?");

  /** Whether a response names a limit. */
  public enum Kind {
    NONE,
    NAMED,
    UNREADABLE
  }

  /**
   * Reads a limit.
   *
   * @param text decimal number, null if the response names no limit
   */
  public static NamedLimit parse(String text) {
    if (text == null) {
      return NONE;
    }
    String number = text.strip();
    return DECIMAL.matcher(number).matches()
        ? new NamedLimit(Kind.NAMED, Double.parseDouble(number))
        : UNREADABLE;
  }
}
