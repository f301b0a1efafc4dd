package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Callers that read a large response slowly, after the entry has handed all of it to Netty. */
@Timeout(40)
class SlowCallerTest {

  private static final String SERVICE = "s";
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final int TIMEOUT_MILLIS = 20_000;

  /** More than the buffers of the sockets hold. */
  private static final int BODY_BYTES = 8_000_000;

  private static final int RECEIVE_BUFFER_BYTES = 8_192;
  private static final long LONG_IDLE_MILLIS = 15_000;
  private static final long SHORT_IDLE_MILLIS = 1_000;

  /** Time that the caller takes to read, longer than the short idle timeout and its check. */
  private static final long READ_MILLIS = 4_000;

  private static final long PAUSE_MILLIS = 100;

  private ScriptedEndpoint endpoint;
  private DirectEntryDaemon entry;
  private String address;
  private final CompletableFuture<ServingStateListener> state = new CompletableFuture<>();

  @BeforeEach
  void start() throws IOException {
    endpoint =
        new ScriptedEndpoint(
            (request, output) -> {
              output.write(
                  ScriptedEndpoint.head(
                      "200 OK", request, "x-signature: signed", "Content-Length: " + BODY_BYTES));
              output.write("x".repeat(BODY_BYTES));
              return true;
            });
    address = EntryFixture.freeAddress();
    ServingStateSource source =
        EntryFixture.fixedState(
            config(1, LONG_IDLE_MILLIS),
            List.of(EntryFixture.endpointSpec("i0", SERVICE, endpoint.port())));
    entry =
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
              loop.execute(() -> state.complete(listener));
            },
            1);
    entry.start();
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    endpoint.close();
  }

  /** Failure: a shorter idle timeout cut off a response that its caller was still reading. */
  @Test
  void deliversTheWholeResponseBesideShorterIdleTimeout() throws Exception {
    try (Socket caller = call()) {
      awaitFirstBytes(caller);
      state.get().updateConfig(config(2, SHORT_IDLE_MILLIS));
      assertThat(readSlowly(caller)).isEqualTo(BODY_BYTES);
    }
  }

  /** Failure: a drain cut off a response that its caller was still reading. */
  @Test
  void deliversTheWholeResponseDuringDrain() throws Exception {
    try (Socket caller = call()) {
      awaitFirstBytes(caller);
      CompletableFuture<Boolean> drained =
          CompletableFuture.supplyAsync(
              () -> {
                boolean complete = entry.drain();
                entry.close();
                return complete;
              });
      TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
      assertThat(readSlowly(caller)).isEqualTo(BODY_BYTES);
      assertThat(drained.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }
  }

  /** Guards against connections that stay open for good because their callers stop reading. */
  @Test
  void closesTheConnectionOfCallerThatStopsReading() throws Exception {
    try (Socket caller = call()) {
      awaitFirstBytes(caller);
      state.get().updateConfig(config(2, SHORT_IDLE_MILLIS));
      TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
      assertThat(readSlowly(caller)).isLessThan(BODY_BYTES);
    }
  }

  private Socket call() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    int colon = address.indexOf(':');
    caller.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
    caller.setSoTimeout(TIMEOUT_MILLIS);
    String request =
        "GET /c/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: a\r\nx-deadline: " + TIMEOUT_MILLIS;
    caller.getOutputStream().write((request + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  /** Reads the head of the response, so that its end is already handed to Netty. */
  private static void awaitFirstBytes(Socket caller) throws Exception {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) caller.getInputStream().read());
    }
    assertThat(head.toString()).startsWith("HTTP/1.1 200 ");
    TimeUnit.MILLISECONDS.sleep(5 * PAUSE_MILLIS);
  }

  /** Reads the body in steps and returns the number of bytes until its end or the connection's. */
  private static int readSlowly(Socket caller) throws Exception {
    int pauses = (int) (READ_MILLIS / PAUSE_MILLIS);
    byte[] buffer = new byte[BODY_BYTES / pauses];
    InputStream in = caller.getInputStream();
    int total = 0;
    try {
      while (total < BODY_BYTES) {
        int n = in.readNBytes(buffer, 0, Math.min(buffer.length, BODY_BYTES - total));
        total += n;
        if (n == 0) {
          return total;
        }
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      }
    } catch (IOException e) {
      // The entry closed the connection.
    }
    return total;
  }

  private static ServingConfig config(long version, long idleMillis) {
    ServingConfig.CallerLimits defaults = ServingConfig.CallerLimits.DEFAULTS;
    RouteSpec route =
        new RouteSpec(
            "r",
            "127.0.0.1",
            "/c/",
            CallKind.IDEMPOTENT,
            false,
            TIMEOUT_MILLIS,
            500,
            1,
            1,
            true,
            List.of(),
            List.of(new RouteSpec.WeightedService(SERVICE, 1)));
    return new ServingConfig(
        version,
        List.of(route),
        List.of(new ServiceSpec(SERVICE, 32, 0, 0, Optional.empty())),
        false,
        Map.of(),
        new ServingConfig.CallerLimits(
            defaults.maxHeaderBytes(),
            defaults.maxBodyBytes(),
            defaults.headerTimeoutMillis(),
            idleMillis));
  }
}
