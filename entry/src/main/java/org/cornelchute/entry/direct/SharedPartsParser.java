package org.cornelchute.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.regex.Pattern;
import org.cornelchute.policy.util.RendezvousHash;

/** Reads the ids and tokens of the parts of a prompt that other calls may share. */
final class SharedPartsParser {

  /** Maximum number of parts that are read; callers choose the header's length. */
  private static final int MAX_PARTS = 32;

  private static final int HEXADECIMAL = 16;
  private static final Pattern HEXADECIMAL_ID = Pattern.compile("[0-9a-fA-F]{1,16}");

  private static final int MAX_TOKEN_DIGITS = 7;
  private static final Pattern TOKENS = Pattern.compile("[0-9]{1," + MAX_TOKEN_DIGITS + "}");

  private SharedPartsParser() {}

  /**
   * Returns the ids in a list of {@code ID:TOKENS} entries, without the last entry and those after
   * the first {@value #MAX_PARTS}. An id that is no hexadecimal number of at most 64 bits is
   * replaced by its hash.
   *
   * @param header comma-separated entries, may be empty
   */
  static List<Long> parse(String header) {
    return values(header, (id, tokens) -> toId(id));
  }

  /**
   * Returns the tokens of the same parts; 0 for those that are no number of at most {@value
   * #MAX_TOKEN_DIGITS} digits.
   */
  static List<Integer> parseTokens(String header) {
    return values(header, (id, tokens) -> toTokens(tokens));
  }

  private static <T> List<T> values(String header, BiFunction<String, String, T> toValue) {
    int end = header.lastIndexOf(',');
    List<T> values = new ArrayList<>(2);
    int start = 0;
    while (start < end && values.size() < MAX_PARTS) {
      int comma = header.indexOf(',', start);
      int colon = header.indexOf(':', start);
      boolean hasTokens = colon >= 0 && colon < comma;
      String id = header.substring(start, hasTokens ? colon : comma).strip();
      if (!id.isEmpty()) {
        values.add(toValue.apply(id, hasTokens ? header.substring(colon + 1, comma) : ""));
      }
      start = comma + 1;
    }
    return List.copyOf(values);
  }

  private static long toId(String id) {
    return HEXADECIMAL_ID.matcher(id).matches()
        ? Long.parseUnsignedLong(id, HEXADECIMAL)
        : RendezvousHash.weight(id, "");
  }

  private static int toTokens(String text) {
    String tokens = text.strip();
    return TOKENS.matcher(tokens).matches() ? Integer.parseInt(tokens) : 0;
  }
}
