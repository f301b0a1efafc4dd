package org.cornelchute.entry.direct;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;

/** An entry before scripted endpoints, with one route. */
final class StreamFixture implements AutoCloseable {

  static final int TIMEOUT_MILLIS = 6_000;

  private static final String SERVICE = "s";
  private static final Pattern CONTENT_LENGTH =
      Pattern.compile("content-length: *([0-9]+)", Pattern.CASE_INSENSITIVE);
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final int MAX_ATTEMPTS = 2;

  private final DirectEntryDaemon entry;
  private final String address;

  /** Starts an entry whose route is of streams that may be resumed. */
  StreamFixture(ScriptedEndpoint... endpoints) throws IOException {
    this(CallKind.STREAM, MAX_ATTEMPTS, TIMEOUT_MILLIS, endpoints);
  }

  /** Starts such an entry with another timeout of its route. */
  StreamFixture(long timeoutMillis, ScriptedEndpoint... endpoints) throws IOException {
    this(CallKind.STREAM, MAX_ATTEMPTS, timeoutMillis, endpoints);
  }

  /** Starts an entry whose route is of a kind, and its streams may be resumed. */
  StreamFixture(CallKind kind, ScriptedEndpoint... endpoints) throws IOException {
    this(kind, MAX_ATTEMPTS, TIMEOUT_MILLIS, endpoints);
  }

  /** Starts an entry whose route allows a number of attempts within a time. */
  StreamFixture(int maxAttempts, long timeoutMillis, ScriptedEndpoint... endpoints)
      throws IOException {
    this(CallKind.STREAM, maxAttempts, timeoutMillis, endpoints);
  }

  /** Starts an entry that lists the endpoints under the names i0, i1 and so on. */
  private StreamFixture(
      CallKind kind, int maxAttempts, long timeoutMillis, ScriptedEndpoint... endpoints)
      throws IOException {
    List<EndpointSpec> specs = new ArrayList<>();
    for (ScriptedEndpoint endpoint : endpoints) {
      specs.add(EntryFixture.endpointSpec("i" + specs.size(), SERVICE, endpoint.port()));
    }
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
            EntryFixture.fixedState(config(kind, maxAttempts, timeoutMillis), specs),
            1);
    entry.start();
  }

  private static ServingConfig config(CallKind kind, int maxAttempts, long timeoutMillis) {
    RouteSpec route =
        new RouteSpec(
            "r",
            "127.0.0.1",
            "/s/",
            kind,
            kind == CallKind.STREAM,
            timeoutMillis,
            500,
            1,
            maxAttempts,
            true,
            List.of(),
            List.of(new RouteSpec.WeightedService(SERVICE, 1)));
    return new ServingConfig(
        1,
        List.of(route),
        List.of(new ServiceSpec(SERVICE, 32, 0, 0, Optional.empty())),
        false,
        Map.of(),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  /** Sends a call and returns all bytes that its caller receives until the connection ends. */
  String call(String id) throws IOException {
    try (Socket caller = open(id)) {
      return readAll(caller.getInputStream());
    }
  }

  /** Sends a call and returns the connection of its caller, from which nothing is read yet. */
  Socket open(String id) throws IOException {
    Socket caller = connect();
    caller.getOutputStream().write(request(id, false).getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  /** Opens a connection of a caller. */
  Socket connect() throws IOException {
    int colon = address.indexOf(':');
    Socket caller =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    caller.setSoTimeout(2 * TIMEOUT_MILLIS);
    return caller;
  }

  /** Returns the bytes of a call. */
  static String request(String id, boolean keepsConnection) {
    return "POST /s/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: "
        + id
        + "\r\nx-deadline: 20000\r\n"
        + (keepsConnection ? "" : "Connection: close\r\n")
        + "Content-Length: 2\r\n\r\nhi";
  }

  /**
   * Reads one response with a length, and nothing after it.
   *
   * @return whether it was complete
   */
  static boolean readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("no complete head of a response");
      }
      head.append((char) next);
    }
    Matcher length = CONTENT_LENGTH.matcher(head);
    int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
    return in.readNBytes(bytes).length == bytes;
  }

  private static String readAll(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[4_096];
    try {
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        text.append(new String(buffer, 0, n, StandardCharsets.US_ASCII));
      }
    } catch (SocketException e) {
      text.append("(reset)");
    }
    return text.toString();
  }

  /** Returns whether a response ends as complete, with the last chunk of its body. */
  static boolean isComplete(String response) {
    return response.endsWith("\r\n" + ScriptedEndpoint.lastChunk());
  }

  /** Returns the content of the chunks of a response that are complete. */
  static String body(String response) {
    StringBuilder body = new StringBuilder();
    int start = response.indexOf("\r\n\r\n") + 4;
    int end = response.indexOf("\r\n", start);
    while (end >= 0) {
      int size = Integer.parseInt(response.substring(start, end), 16);
      start = end + 2 + size + 2;
      if (size == 0 || start > response.length()) {
        break;
      }
      body.append(response, end + 2, start - 2);
      end = response.indexOf("\r\n", start);
    }
    return body.toString();
  }

  /** Returns the ids of the events of a response in order. */
  static List<Integer> eventIds(String response) {
    List<Integer> ids = new ArrayList<>();
    response
        .lines()
        .filter(line -> line.startsWith("id: "))
        .forEach(line -> ids.add(Integer.parseInt(line.substring(4).strip())));
    return ids;
  }

  /** Drains the entry; returns whether all calls ended in time. */
  boolean drain() {
    return entry.drain();
  }

  @Override
  public void close() {
    entry.close();
  }
}
