package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
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
  private static final long IDLE_MILLIS = 2_000;

  /** Longest time between two checks for idle connections. */
  private static final long CHECK_INTERVAL_MILLIS = 1_000;

  private final CompletableFuture<EventLoop> entryLoop = new CompletableFuture<>();
  private String address;

  /** Failure: a drain closed the connection of a request that had arrived during a stall. */
  @Test
  void rejectsRequestThatArrivedBeforeTheClose() throws Exception {
    DirectEntryDaemon entry = startEntry(ServingConfig.CallerLimits.DEFAULTS);
    try (Socket caller = connect()) {
      caller.setSoTimeout(PATIENCE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      final CompletableFuture<Boolean> drain = CompletableFuture.supplyAsync(entry::drain);
      TimeUnit.MILLISECONDS.sleep(REJECT_MILLIS - STALL_MILLIS / 2);
      entryLoop.get().execute(() -> stall(STALL_MILLIS));
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

  /** Guards against an idle timeout that closes the connection of a request that came in time. */
  @Test
  void answersRequestThatArrivedBeforeTheIdleTimeout() throws Exception {
    DirectEntryDaemon entry =
        startEntry(new ServingConfig.CallerLimits(16_384, 65_536, 3_000, IDLE_MILLIS));
    try (Socket caller = connect()) {
      caller.setSoTimeout(PATIENCE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(IDLE_MILLIS - STALL_MILLIS);
      entryLoop.get().execute(() -> stall(CHECK_INTERVAL_MILLIS + STALL_MILLIS));
      TimeUnit.MILLISECONDS.sleep(STALL_MILLIS / 4);
      caller
          .getOutputStream()
          .write(StreamFixture.request("a", false).getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(response).startsWith("HTTP/1.1 503 ");
    } finally {
      entry.close();
    }
  }

  /** Starts an entry whose only endpoint cannot be reached. */
  private DirectEntryDaemon startEntry(ServingConfig.CallerLimits limits) throws IOException {
    address = EntryFixture.freeAddress();
    ServingConfig config =
        new ServingConfig(
            1,
            List.of(
                new RouteSpec(
                    "r",
                    "127.0.0.1",
                    "/s/",
                    CallKind.STREAM,
                    false,
                    TIMEOUT_MILLIS,
                    500,
                    1,
                    2,
                    true,
                    List.of(),
                    List.of(new RouteSpec.WeightedService(SERVICE, 1)))),
            List.of(new ServiceSpec(SERVICE, 32, 0, 0, Optional.empty())),
            false,
            Map.of(),
            limits);
    ServingStateSource source =
        EntryFixture.fixedState(config, List.of(EntryFixture.endpointSpec("i0", SERVICE, 1)));
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
    return entry;
  }

  private Socket connect() throws IOException {
    int colon = address.indexOf(':');
    return new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private static void stall(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
