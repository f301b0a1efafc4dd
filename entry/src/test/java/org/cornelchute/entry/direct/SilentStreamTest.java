package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint stops sending events of a stream that may not be resumed. Only the caller knows how
 * long it wants to wait; the entry ends the stream with the caller or at the deadline.
 */
@Timeout(30)
class SilentStreamTest {

  /** Longer than the time without data after which a resumable stream is retried. */
  private static final int SILENCE_MILLIS = 2_000;

  private static final int TIMEOUT_MILLIS = 4_000;

  /** Time within which an endpoint must learn that its caller has left. */
  private static final long CANCEL_MILLIS = 500;

  private static final long COMMENT_INTERVAL_MILLIS = 100;
  private static final int SLACK_MILLIS = 1_000;
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final String SERVICE = "s";

  /** Completed with the time in nanoseconds at which the endpoint saw the end of its caller. */
  private final CompletableFuture<Long> callerLeft = new CompletableFuture<>();

  private ServerSocket endpoint;
  private DirectEntryDaemon entry;
  private String address;
  private volatile String sentInSilence = "";

  @BeforeEach
  void start() throws IOException {
    endpoint = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve);
    thread.setDaemon(true);
    thread.start();
    address = EntryFixture.freeAddress();
    entry =
        new DirectEntryDaemon(
            EntryFixture.settings(
                address,
                EntryFixture.freeAddress(),
                "",
                EntryFixture.freeAddress(),
                KEY_AGE_MILLIS),
            EntryFixture.HEADER_NAMES,
            EntryFixture.fixedState(
                EntryFixture.streamConfig(SERVICE, TIMEOUT_MILLIS),
                List.of(EntryFixture.endpointSpec("i1", SERVICE, endpoint.getLocalPort()))),
            1);
    entry.start();
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    endpoint.close();
  }

  /**
   * Guards against a stream that is cut while its caller still waits, and against one that stays.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", ": still here\n\n"})
  void keepsTheStreamUntilItsCallerLeaves(String bytes) throws Exception {
    sentInSilence = bytes;
    try (Socket caller = call()) {
      assertThat(endsWithin(caller, SILENCE_MILLIS)).isFalse();
      assertThat(callerLeft).isNotDone();
    }
    long closedAt = System.nanoTime();
    long leftAt = callerLeft.get(SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(TimeUnit.NANOSECONDS.toMillis(leftAt - closedAt)).isLessThan(CANCEL_MILLIS);
  }

  /** Guards against a stream without end where the caller does not leave by itself. */
  @Test
  void endsTheStreamAtTheTimeoutOfTheRoute() throws Exception {
    sentInSilence = ": still here\n\n";
    try (Socket caller = call()) {
      assertThat(endsWithin(caller, TIMEOUT_MILLIS + SLACK_MILLIS)).isTrue();
      assertThat(callerLeft.get(SLACK_MILLIS, TimeUnit.MILLISECONDS)).isPositive();
    }
  }

  private Socket call() throws IOException {
    int colon = address.indexOf(':');
    Socket caller =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    String request =
        "POST /s/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: a\r\nx-deadline: 20000\r\n"
            + "Content-Length: 2\r\n\r\nhi";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  /** Reads the response until it ends or the time is over; returns whether it ended. */
  private static boolean endsWithin(Socket caller, int millis) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    byte[] buffer = new byte[1_024];
    while (System.nanoTime() < end) {
      caller.setSoTimeout(
          1 + (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
      try {
        if (caller.getInputStream().read(buffer) < 0) {
          return true;
        }
      } catch (SocketTimeoutException e) {
        return false;
      }
    }
    return false;
  }

  /** Sends one event of one stream, then the bytes of the silence until the entry closes. */
  private void serve() {
    try (Socket socket = endpoint.accept()) {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = reader.readLine();
      while (!line.isEmpty()) {
        line = reader.readLine();
      }
      reader.skip(2);
      String head =
          "HTTP/1.1 200 OK\r\nx-id: a\r\nx-signature: signed\r\n"
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      socket.getOutputStream().write((head + chunk("id: 1\ndata: x\n\n")).getBytes());
      socket.setSoTimeout((int) COMMENT_INTERVAL_MILLIS);
      while (!isClosed(reader)) {
        if (!sentInSilence.isEmpty()) {
          socket.getOutputStream().write(chunk(sentInSilence).getBytes());
        }
      }
    } catch (IOException e) {
      // The connection was reset, or the test is over.
    }
    callerLeft.complete(System.nanoTime());
  }

  private static boolean isClosed(BufferedReader reader) throws IOException {
    try {
      return reader.read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
