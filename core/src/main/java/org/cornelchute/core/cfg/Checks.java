package org.cornelchute.core.cfg;

/** Argument checks for settings records; each message names the key and the accepted form. */
public final class Checks {

  private Checks() {}

  /** Requires {@code low <= value <= high}. */
  public static void requireRange(String key, long value, long low, long high, String unit) {
    if (value < low || value > high) {
      throw new IllegalArgumentException(
          "'" + key + "' is " + value + "; accepted: " + low + " to " + high + " " + unit);
    }
  }

  /** Requires {@code value} to be neither null nor blank. */
  public static void requireText(String key, String value) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(
          "'" + key + "' is missing or blank; accepted: a non-empty text");
    }
  }

  /** Requires {@code value} to have the form {@code ip:port}. */
  public static void requireAddress(String key, String value) {
    if (value == null || !value.matches("[0-9.]+:[0-9]{1,5}")) {
      throw new IllegalArgumentException(
          "'"
              + key
              + "' is '"
              + value
              + "'; accepted: an IP address and a port, such as 10.0.0.7:4100");
    }
  }
}
