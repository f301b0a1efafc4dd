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

/** Event streams are split at event boundaries, however their bytes arrive. */
class EventStreamDecoderTest {

  private static final String STREAM =
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: without id\n\nid: 3\r\ndata: c\r\n\r\n";

  @Property(tries = 200)
  void returnsCompleteEventsHoweverBytesAreSplit(
      @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 9) Integer> sizes) {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] input = STREAM.getBytes(StandardCharsets.US_ASCII);
    int offset = 0;
    for (int i = 0; offset < input.length; i++) {
      int size = i < sizes.size() ? sizes.get(i) : input.length;
      int end = Math.min(input.length, offset + size);
      for (byte[] event : decoder.decode(Arrays.copyOfRange(input, offset, end))) {
        out.writeBytes(event);
      }
      offset = end;
    }
    assertThat(out.toString(StandardCharsets.US_ASCII)).isEqualTo(STREAM);
    assertThat(decoder.lastEventId()).isEqualTo(3);
    assertThat(decoder.hasPartialEvent()).isFalse();
  }

  @Test
  void dropsPartialAndDuplicateEventsAfterResume() {
    EventStreamDecoder decoder = new EventStreamDecoder(-1);
    assertThat(decoder.decode(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
    assertThat(decoder.hasPartialEvent()).isTrue();
    decoder.discardPartialEvent();
    assertThat(decoder.decode(bytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))).hasSize(1);
    assertThat(decoder.lastEventId()).isEqualTo(2);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
