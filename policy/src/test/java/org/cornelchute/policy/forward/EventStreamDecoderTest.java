package org.cornelchute.policy.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Streams are cut at the boundaries of events, wherever their bytes are split on the way. */
class EventStreamDecoderTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: without id\n\nid: 3\r\ndata: c\r\n\r\n";

  @Property(tries = 200)
  void returnsCompleteEventsHoweverBytesAreSplit(
      @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 9) Integer> cuts) {
    EventStreamDecoder cursor = new EventStreamDecoder(-1);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] all = STREAM.getBytes(StandardCharsets.US_ASCII);
    int at = 0;
    for (int i = 0; at < all.length; i++) {
      int size = i < cuts.size() ? cuts.get(i) : all.length;
      int end = Math.min(all.length, at + size);
      for (byte[] e : cursor.decode(Arrays.copyOfRange(all, at, end))) {
        out.writeBytes(e);
      }
      at = end;
    }
    assertThat(out.toString(StandardCharsets.US_ASCII)).isEqualTo(STREAM);
    assertThat(cursor.lastEventId()).isEqualTo(3);
    assertThat(cursor.hasPartialEvent()).isFalse();
  }

  @Test
  void dropsPartialAndDuplicateEventsAfterResume() {
    EventStreamDecoder cursor = new EventStreamDecoder(-1);
    assertThat(cursor.decode(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
    assertThat(cursor.hasPartialEvent()).isTrue();
    cursor.discardPartialEvent();
    assertThat(cursor.decode(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))).hasSize(1);
    assertThat(cursor.lastEventId()).isEqualTo(2);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
