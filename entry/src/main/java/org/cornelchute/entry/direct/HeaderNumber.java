package org.cornelchute.entry.direct;

/** Reads numbers in headers, which callers and endpoints choose. */
final class HeaderNumber {

  private HeaderNumber() {}

  /**
   * Returns a whole number, 0 if it is negative.
   *
   * @param text value of the header, null if there is none
   * @param defaultValue result if the text is null, empty or no number
   */
  static long parse(String text, long defaultValue) {
    if (text == null || text.isEmpty()) {
      return defaultValue;
    }
    try {
      return Math.max(0, Long.parseLong(text.strip()));
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }
}
