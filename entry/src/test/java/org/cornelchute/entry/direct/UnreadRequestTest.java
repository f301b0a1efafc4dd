package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that arrive on an idle connection while the entry does not read. */
@Timeout(30)
class UnreadRequestTest {

  private static final String SERVICE = "s";
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final long TIMEOUT_MILLIS = 15_000;
  private static final long SETTLE_MILLIS = 500;

  /** Time from the start of a drain without calls until the entry rejects new ones. */
  private static final long REJECT_MILLIS = 2_500;

  private static final long STALL_MILLIS = 600;
  private static final int PATIENCE_MILLIS = 6_000;

  /** Failure: a drain closed the connection of a request that had arrived during a stall. */
  @Test
  void rejectsRequestThatArrivedBeforeTheClose() throws Exception {
    CompletableFuture<EventLoop> entryLoop = new CompletableFuture<>();
    String address = EntryFixture.freeAddress();
    ServingStateSource source =
        EntryFixture.fixedState(
            EntryFixture.streamConfig(SERVICE, TIMEOUT_MILLIS),
            List.of(EntryFixture.endpointSpec("i0", SERVICE, 1)));
    DirectEntryDaemon entry =
        new DirectEntryDaemon(
            EntryFixture.settings(
                address,
                EntryFixture.freeAddress(),
                "",
                EntryFixture.freeAddress(),
                KEY_AGE_MILLIS),
            EntryFixture.HEADER_NAMES,
            (loop, client, clock, listener) -> {
              source.start(loop, client, clock, listener);
              entryLoop.complete(loop);
            },
            1);
    entry.start();
    int colon = address.indexOf(':');
    try (Socket caller =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
      caller.setSoTimeout(PATIENCE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      final CompletableFuture<Boolean> drain = CompletableFuture.supplyAsync(entry::drain);
      TimeUnit.MILLISECONDS.sleep(REJECT_MILLIS - STALL_MILLIS / 2);
      entryLoop.get().execute(UnreadRequestTest::stall);
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS / 4);
      caller
          .getOutputStream()
          .write(StreamFixture.request("a", true).getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(response).startsWith("HTTP/1.1 503 ");
      assertThat(drain.get()).isTrue();
    } finally {
      entry.close();
    }
  }

  private static void stall() {
    try {
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
