package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The last moments of an entry that is asked to stop. */
@Timeout(30)
class DrainEndTest {

  private static final long SETTLE_MILLIS = 500;

  /** Longer than a drain. */
  private static final long SILENCE_MILLIS = 12_000;

  private static final String SILENT = "silent";

  private ScriptedEndpoint endpoint;
  private StreamFixture fixture;

  @BeforeEach
  void start() throws IOException {
    endpoint =
        new ScriptedEndpoint(
            (request, output) -> {
              output.pause(request.get("x-id").equals(SILENT) ? SILENCE_MILLIS : 0);
              output.write(ScriptedEndpoint.streamHead(request) + ScriptedEndpoint.lastChunk());
              return true;
            });
    fixture = new StreamFixture(20_000, endpoint);
  }

  @AfterEach
  void stop() throws IOException {
    fixture.close();
    endpoint.close();
  }

  /** Failure: at the end of a drain, open calls got neither a response nor a rejection. */
  @Test
  void rejectsCallsThatAreOpenAtTheEnd() throws Exception {
    final CompletableFuture<String> response = callAsync(SILENT);
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    assertThat(fixture.drain()).isFalse();
    fixture.close();
    assertThat(response.get()).startsWith("HTTP/1.1 502 ");
  }

  /** Failure: a call that came after the last check for open calls was sent, and then lost. */
  @Test
  void sendsNoCallOnceTheDrainIsOver() throws Exception {
    assertThat(fixture.drain()).isTrue();
    assertThat(fixture.call("late")).startsWith("HTTP/1.1 503 ");
    assertThat(endpoint.requests).isEmpty();
  }

  private CompletableFuture<String> callAsync(String id) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return fixture.call(id);
          } catch (IOException e) {
            return "(" + e + ")";
          }
        });
  }
}
