package org.cornelchute.entry.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.cornelchute.policy.util.RendezvousHash;

/** Reads the ids of the parts of a prompt that other calls may share. */
final class SharedPartsParser {

  /** Maximum number of parts that are read; callers choose the header's length. */
  private static final int MAX_PARTS = 32;

  private static final int HEXADECIMAL = 16;
  private static final Pattern HEXADECIMAL_ID = Pattern.compile("[0-9a-fA-F]{1,16}");

  private SharedPartsParser() {}

  /**
   * Returns the ids in a list of {@code ID:TOKENS} entries, without the last entry and those after
   * the first {@value #MAX_PARTS}. An id that is no hexadecimal number of at most 64 bits is
   * replaced by its hash.
   *
   * @param header comma-separated entries, may be empty
   */
  static List<Long> parse(String header) {
    int end = header.lastIndexOf(',');
    List<Long> ids = new ArrayList<>(2);
    int start = 0;
    while (start < end && ids.size() < MAX_PARTS) {
      int comma = header.indexOf(',', start);
      addId(ids, header, start, comma);
      start = comma + 1;
    }
    return List.copyOf(ids);
  }

  private static void addId(List<Long> ids, String header, int start, int end) {
    int colon = header.indexOf(':', start);
    String id = header.substring(start, colon < 0 || colon > end ? end : colon).strip();
    if (!id.isEmpty()) {
      ids.add(
          HEXADECIMAL_ID.matcher(id).matches()
              ? Long.parseUnsignedLong(id, HEXADECIMAL)
              : RendezvousHash.weight(id, ""));
    }
  }
}
