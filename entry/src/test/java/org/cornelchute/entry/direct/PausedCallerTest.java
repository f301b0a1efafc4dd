package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** One caller stops reading its stream, while the endpoint stops sending to all callers. */
@Timeout(30)
class PausedCallerTest {

  private static final String PAUSED = "paused";
  private static final String TICKING = "ticking";
  private static final long TICK_MILLIS = 100;
  private static final long SETTLE_MILLIS = 500;
  private static final int EVENT_BYTES = 60_000;

  /** More than the buffers of the sockets hold. */
  private static final int EVENTS = 300;

  /** Number of calls that are neither paused nor ticking. */
  private int others;

  private boolean answer(Map<String, String> request, ScriptedEndpoint.Output output)
      throws IOException {
    output.write(ScriptedEndpoint.streamHead(request));
    if (request.get("x-id").equals(PAUSED)) {
      for (int id = 1; id <= EVENTS; id++) {
        output.write(
            ScriptedEndpoint.chunk("id: " + id + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n"));
      }
    } else if (request.get("x-id").equals(TICKING)) {
      for (int id = 1; id <= EVENTS; id++) {
        output.write(ScriptedEndpoint.event(id)).pause(TICK_MILLIS);
      }
    } else if (isFirst()) {
      output.write(ScriptedEndpoint.event(1)).pause(2 * StreamFixture.TIMEOUT_MILLIS);
    } else {
      output.write(ScriptedEndpoint.event(2) + ScriptedEndpoint.lastChunk());
    }
    return true;
  }

  private synchronized boolean isFirst() {
    return others++ == 0;
  }

  /**
   * Failure: a stream was not resumed elsewhere until its deadline, because another stream of the
   * same endpoint waited for its caller and counted as data from the endpoint.
   */
  @Test
  void resumesTheStreamOfSilentEndpointBesidePausedCaller() throws Exception {
    try (ScriptedEndpoint first = new ScriptedEndpoint(this::answer);
        ScriptedEndpoint second = new ScriptedEndpoint(this::answer);
        StreamFixture fixture = new StreamFixture(first, second);
        Socket paused = openAndSettle(fixture, PAUSED);
        // It goes to the other endpoint, which has no call yet.
        Socket ticking = openAndSettle(fixture, TICKING)) {
      assertThat(first.requests).hasSize(1);
      assertThat(second.requests).hasSize(1);
      String response = fixture.call("a");
      assertThat(StreamFixture.eventIds(response)).containsExactly(1, 2);
      assertThat(StreamFixture.isComplete(response)).isTrue();
      assertThat(List.of(paused, ticking)).noneMatch(Socket::isClosed);
    }
  }

  private static Socket openAndSettle(StreamFixture fixture, String id) throws Exception {
    Socket caller = fixture.open(id);
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    return caller;
  }
}
