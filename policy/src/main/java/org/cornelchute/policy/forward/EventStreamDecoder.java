package org.cornelchute.policy.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of an event stream into complete events, so that a stream that breaks off can be
 * resumed on another endpoint.
 *
 * <p>An event whose id is not greater than the last id is dropped, since the caller already
 * received it before the stream was resumed.
 */
public final class EventStreamDecoder {

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] partial = new byte[0];
  private long lastEventId;

  /** Creates a decoder; {@code lastEventId} is the id of the last delivered event, or negative. */
  public EventStreamDecoder(long lastEventId) {
    this.lastEventId = lastEventId;
  }

  /** Returns the id of the last event that was returned or already delivered, negative if none. */
  public long lastEventId() {
    return lastEventId;
  }

  /** Returns whether the received bytes end within an event. */
  public boolean hasPartialEvent() {
    return partial.length > 0;
  }

  /** Discards the bytes of an incomplete event; called when the stream is resumed. */
  public void discardPartialEvent() {
    partial = new byte[0];
  }

  /** Adds received bytes and returns the events that they complete, in order. */
  public List<byte[]> decode(byte[] bytes) {
    byte[] all = bytes;
    if (partial.length > 0) {
      all = new byte[partial.length + bytes.length];
      System.arraycopy(partial, 0, all, 0, partial.length);
      System.arraycopy(bytes, 0, all, partial.length, bytes.length);
    }
    List<byte[]> events = new ArrayList<>(2);
    int start = 0;
    for (int i = 1; i < all.length; i++) {
      if (all[i] == '\n' && (all[i - 1] == '\n' || i > 2 && isBlankLine(all, i))) {
        emit(events, all, start, i + 1);
        start = i + 1;
      }
    }
    partial = Arrays.copyOfRange(all, start, all.length);
    return events;
  }

  private void emit(List<byte[]> events, byte[] all, int start, int end) {
    long id = findId(all, start, end);
    if (id >= 0 && id <= lastEventId) {
      return;
    }
    if (id >= 0) {
      lastEventId = id;
    }
    events.add(Arrays.copyOfRange(all, start, end));
  }

  /** Returns whether the line feed at an index ends a blank line that is terminated by CR LF. */
  private static boolean isBlankLine(byte[] bytes, int index) {
    return bytes[index - 1] == '\r' && bytes[index - 2] == '\n';
  }

  /** Returns the id of an event, -1 if it has none or the id is not a number. */
  private static long findId(byte[] bytes, int start, int end) {
    for (int i = start; i + ID_FIELD.length < end; i++) {
      boolean lineStart = i == start || bytes[i - 1] == '\n';
      if (lineStart
          && bytes[i] == ID_FIELD[0]
          && bytes[i + 1] == ID_FIELD[1]
          && bytes[i + 2] == ID_FIELD[2]) {
        return parseId(bytes, i + ID_FIELD.length, end);
      }
    }
    return -1;
  }

  private static long parseId(byte[] bytes, int from, int end) {
    long value = 0;
    boolean digits = false;
    for (int i = from; i < end && bytes[i] != '\n' && bytes[i] != '\r'; i++) {
      if (bytes[i] >= '0' && bytes[i] <= '9') {
        value = value * 10 + bytes[i] - '0';
        digits = true;
      } else if (bytes[i] != ' ') {
        return -1;
      }
    }
    return digits ? value : -1;
  }
}
