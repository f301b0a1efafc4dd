package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Endpoints that are silent for a second or two in the middle of a stream that may be resumed, and
 * then go on.
 */
@Timeout(30)
class SilentEndpointStreamTest {

  private static final long SILENCE_MILLIS = 1_400;

  /** Place of the silence in the response. */
  enum Place {
    BEFORE_HEAD,
    AFTER_HEAD,
    INSIDE_EVENT,
    BETWEEN_EVENTS,
    BEFORE_END
  }

  /** Answers with three events and a silence at one place. */
  private static ScriptedEndpoint.Script silentAt(Place place, long silenceMillis) {
    return (request, output) -> {
      output.pause(place == Place.BEFORE_HEAD ? silenceMillis : 0);
      output.write(ScriptedEndpoint.streamHead(request));
      output.pause(place == Place.AFTER_HEAD ? silenceMillis : 0);
      String first = ScriptedEndpoint.event(1);
      output.write(first.substring(0, first.length() / 2));
      output.pause(place == Place.INSIDE_EVENT ? silenceMillis : 0);
      output.write(first.substring(first.length() / 2));
      output.pause(place == Place.BETWEEN_EVENTS ? silenceMillis : 0);
      output.write(ScriptedEndpoint.event(2) + ScriptedEndpoint.event(3));
      output.pause(place == Place.BEFORE_END ? silenceMillis : 0);
      output.write(ScriptedEndpoint.lastChunk());
      return true;
    };
  }

  /** Answers with the events after the last one that the caller has. */
  private static boolean resume(Map<String, String> request, ScriptedEndpoint.Output output)
      throws IOException {
    output.write(ScriptedEndpoint.streamHead(request));
    for (int id = 1 + Integer.parseInt(request.getOrDefault("last-event-id", "0")); id <= 3; id++) {
      output.write(ScriptedEndpoint.event(id));
    }
    output.write(ScriptedEndpoint.lastChunk());
    return true;
  }

  /** Failure: the stream was broken off or rejected, as no other endpoint could take it. */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @EnumSource(Place.class)
  void deliversTheStreamOfTheOnlyEndpoint(Place place) throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint(silentAt(place, SILENCE_MILLIS));
        StreamFixture fixture = new StreamFixture(endpoint)) {
      String response = fixture.call("a");
      assertThat(response).startsWith("HTTP/1.1 200 ");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2, 3);
      assertThat(StreamFixture.isComplete(response)).isTrue();
      assertThat(endpoint.requests).hasSize(1);
    }
  }

  /**
   * Failure: all endpoints were silent at the same time; the stream was moved from one to the other
   * and lost when the other one was given up as well.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @CsvSource({
    "BEFORE_HEAD,1400", "AFTER_HEAD,1400", "INSIDE_EVENT,1400", "BETWEEN_EVENTS,1400",
    "BEFORE_END,1400", "BEFORE_HEAD,2000", "BETWEEN_EVENTS,2000", "BEFORE_END,2000"
  })
  void deliversTheStreamIfAllEndpointsAreSilent(Place place, long silenceMillis) throws Exception {
    try (ScriptedEndpoint first = new ScriptedEndpoint(silentAt(place, silenceMillis));
        ScriptedEndpoint second = new ScriptedEndpoint(silentAt(place, silenceMillis));
        StreamFixture fixture = new StreamFixture(first, second)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2, 3);
      assertThat(StreamFixture.isComplete(response)).isTrue();
    }
  }

  /**
   * Failure: the other endpoint refused the stream, and the attempt that was only silent had been
   * given up for it.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @EnumSource(Place.class)
  void deliversTheStreamIfTheOtherEndpointRefuses(Place place) throws Exception {
    ScriptedEndpoint.Script script = silentAt(place, SILENCE_MILLIS);
    int[] calls = new int[1];
    ScriptedEndpoint.Script firstIsSilent =
        (request, output) -> {
          boolean first;
          synchronized (calls) {
            first = calls[0]++ == 0;
          }
          if (first) {
            return script.answer(request, output);
          }
          output.write(
              ScriptedEndpoint.head(
                  "503 Service Unavailable", request, "x-not-executed: 1", "Content-Length: 0"));
          return true;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(firstIsSilent);
        ScriptedEndpoint other = new ScriptedEndpoint(firstIsSilent);
        StreamFixture fixture = new StreamFixture(one, other)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2, 3);
      assertThat(StreamFixture.isComplete(response)).isTrue();
    }
  }

  /** An endpoint that is silent for good is replaced by the other one. */
  @Test
  void resumesTheStreamOfAnEndpointThatStaysSilent() throws Exception {
    int[] calls = new int[1];
    ScriptedEndpoint.Script firstStops =
        (request, output) -> {
          boolean first;
          synchronized (calls) {
            first = calls[0]++ == 0;
          }
          if (!first) {
            return resume(request, output);
          }
          output.write(ScriptedEndpoint.streamHead(request) + ScriptedEndpoint.event(1));
          output.pause(StreamFixture.TIMEOUT_MILLIS);
          return false;
        };
    try (ScriptedEndpoint one = new ScriptedEndpoint(firstStops);
        ScriptedEndpoint other = new ScriptedEndpoint(firstStops);
        StreamFixture fixture = new StreamFixture(one, other)) {
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2, 3);
      assertThat(StreamFixture.isComplete(response)).isTrue();
    }
  }
}
