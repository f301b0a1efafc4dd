package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The last connection that an entry accepts before its process ends. */
@Timeout(30)
class LastConnectionTest {

  /** Time after the connection at which its request comes. */
  private static final long REQUEST_DELAY_MILLIS = 50;

  /** Failure: a call on a connection that was just accepted got no response at the end. */
  @Test
  void rejectsTheCallThatFollows() throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint((request, output) -> true)) {
      StreamFixture fixture = new StreamFixture(endpoint);
      fixture.drain();
      try (Socket caller = fixture.connect()) {
        final CompletableFuture<Void> closed = CompletableFuture.runAsync(fixture::close);
        TimeUnit.MILLISECONDS.sleep(REQUEST_DELAY_MILLIS);
        caller
            .getOutputStream()
            .write(StreamFixture.request("late", false).getBytes(StandardCharsets.US_ASCII));
        byte[] response = caller.getInputStream().readAllBytes();
        assertThat(new String(response, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 503 ");
        closed.get();
      }
      assertThatThrownBy(fixture::connect).isInstanceOf(IOException.class);
      assertThat(endpoint.requests).isEmpty();
    }
  }
}
