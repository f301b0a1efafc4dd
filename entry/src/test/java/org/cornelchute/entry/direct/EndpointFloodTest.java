package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Over real sockets, endpoints that send bytes without end, and callers that do not read. */
@Timeout(30)
class EndpointFloodTest {

  private static final CallHeaderNames HEADER_NAMES =
      new CallHeaderNames(
          "x-id",
          "x-deadline",
          "x-instance",
          "x-weights",
          "x-workspace",
          "x-priority",
          "x-tokens",
          "x-hint",
          "last-event-id",
          "x-not-executed",
          "x-signature",
          "x-version",
          "x-load");

  /** Service of the endpoint that floods. */
  private static final String FLOODED = "flooded";

  /** Service of the endpoint that floods and of one that does not. */
  private static final String MIXED = "mixed";

  private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  private static final int BATCH_BYTES = 16_384;
  private static final long DEADLINE_MILLIS = 6_000;

  /** Time within which a flood at the rate of the loopback interface is noticed. */
  private static final long MAX_MILLIS = 4_000;

  /** Bytes that an endpoint may send for a caller that reads nothing, mostly in socket buffers. */
  private static final long MAX_SENT_BYTES = 32L * 1_024 * 1_024;

  private final ExecutorService serverThreads = Executors.newCachedThreadPool();
  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong closedFloods = new AtomicLong();
  private HttpServer floodingEndpoint;
  private HttpServer healthyEndpoint;
  private DirectEntryDaemon entry;
  private String address;
  private String operators;
  private volatile String pattern;

  @BeforeEach
  void start() throws IOException {
    floodingEndpoint = startEndpoint(this::flood);
    healthyEndpoint = startEndpoint(this::respond);
    address = freeAddress();
    operators = freeAddress();
    DirectSettings defaults = DirectSettings.DEFAULTS;
    DirectSettings settings =
        new DirectSettings(
            "e1",
            "d1",
            Map.of("d1", "r1"),
            address,
            freeAddress(),
            "",
            operators,
            "127.0.0.1:1",
            60_000,
            defaults.configMillis(),
            defaults.versionMillis(),
            defaults.retryRatio(),
            defaults.retryAllowance(),
            defaults.retryWindowSeconds(),
            defaults.coldOverrun(),
            defaults.coldAllowance(),
            8,
            false);
    entry =
        new DirectEntryDaemon(
            settings,
            HEADER_NAMES,
            (entryLoop, client, clock, listener) -> {
              listener.recordFirstStart();
              listener.updateConfig(config());
              listener.updateEvacuatedDomains(Set.of());
              listener.updateEndpoints(
                  List.of(
                      endpointSpec("f", FLOODED, floodingEndpoint),
                      endpointSpec("m1", MIXED, floodingEndpoint),
                      endpointSpec("m2", MIXED, healthyEndpoint)));
              listener.recordConfirmation(clock.getAsLong());
            },
            1);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
    floodingEndpoint.stop(0);
    healthyEndpoint.stop(0);
    serverThreads.shutdownNow();
  }

  /** Guards against a response body that is buffered until the memory of the entry is exhausted. */
  @Test
  void rejectsCallsOfResponsesWithoutEnd() throws Exception {
    pattern = "no answer";
    long startedAt = System.nanoTime();
    assertThat(call("/once/").statusCode()).isEqualTo(502);
    assertThat(millisSince(startedAt)).isLessThan(MAX_MILLIS);
    awaitClosedFloods(1);
    assertThat(metricsPage())
        .contains("cornelchute_server_faults_total 1")
        .contains("cornelchute_calls_buffered_bytes 0\n");
  }

  /** Guards against a response without end that ends a call which another endpoint can answer. */
  @Test
  void repeatsCallsOfResponsesWithoutEndOnAnotherEndpoint() throws Exception {
    pattern = "no answer";
    for (int i = 0; i < 4; i++) {
      HttpResponse<String> response = call("/again/");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo(EVENTS);
    }
    awaitClosedFloods(1);
    assertThat(metricsPage()).contains("cornelchute_calls_buffered_bytes 0\n");
  }

  /** Guards against a stream whose bytes are collected without bound because no event ends. */
  @Test
  void abortsStreamsWhoseEventsDoNotEnd() throws Exception {
    pattern = "data: more";
    assertStreamAborted();
  }

  /** Guards against bytes that are no events, but are forwarded and keep a stream alive. */
  @Test
  void abortsStreamsOfBytesThatAreNoEvents() throws Exception {
    pattern = "no event\n\n";
    assertStreamAborted();
  }

  /** Guards against a stream whose blank lines keep it alive. */
  @Test
  void abortsStreamsOfBlankLines() throws Exception {
    pattern = "\n";
    assertStreamAborted();
  }

  /** Guards against a stream of bytes that are no events where another endpoint has the events. */
  @Test
  void resumesStreamsWhoseEventsDoNotEndOnAnotherEndpoint() throws Exception {
    pattern = "data: more";
    for (int i = 0; i < 4; i++) {
      assertThat(call("/stream-mixed/").body()).isEqualTo(EVENTS);
    }
    awaitClosedFloods(1);
  }

  /** Guards against events that are buffered without bound for a caller that does not read. */
  @Test
  void readsNoFasterFromEndpointsThanCallersDo() throws Exception {
    pattern = "data: " + "more".repeat(250) + "\n\n";
    int colon = address.indexOf(':');
    try (Socket socket =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
      String request =
          "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: slow\r\nContent-Length: 0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      assertThat(in.read()).isPositive();
      TimeUnit.MILLISECONDS.sleep(2_000);
      long sentUnread = sentBytes.get();
      assertThat(sentUnread).isPositive().isLessThan(MAX_SENT_BYTES);
      // The stream goes on once the caller reads again.
      byte[] received = new byte[BATCH_BYTES];
      long total = 0;
      while (total < 2 * sentUnread) {
        int size = in.read(received);
        assertThat(size).isPositive();
        total += size;
      }
    }
    awaitClosedFloods(1);
  }

  private void assertStreamAborted() throws Exception {
    long startedAt = System.nanoTime();
    HttpResponse<InputStream> response =
        httpClient.send(request("/stream-once/"), BodyHandlers.ofInputStream());
    assertThat(response.statusCode()).isEqualTo(200);
    assertThatThrownBy(
            () -> {
              byte[] body = response.body().readNBytes(1);
              assertThat(body).isEmpty();
            })
        .isInstanceOf(IOException.class);
    assertThat(millisSince(startedAt)).isLessThan(MAX_MILLIS);
    awaitClosedFloods(1);
    assertThat(sentBytes.get()).isLessThan(MAX_SENT_BYTES);
  }

  private void awaitClosedFloods(int count) throws InterruptedException {
    for (int i = 0; i < 100 && closedFloods.get() < count; i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    assertThat(closedFloods.get()).isGreaterThanOrEqualTo(count);
  }

  private String metricsPage() throws Exception {
    return httpClient
        .send(
            HttpRequest.newBuilder(URI.create("http://" + operators + "/metrics")).build(),
            BodyHandlers.ofString())
        .body();
  }

  private HttpResponse<String> call(String path) throws Exception {
    return httpClient.send(request(path), BodyHandlers.ofString());
  }

  private HttpRequest request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .header("x-id", "id-" + System.nanoTime())
        .POST(HttpRequest.BodyPublishers.ofString("body"))
        .build();
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private void flood(HttpExchange exchange) throws IOException {
    byte[] batch =
        pattern.repeat(BATCH_BYTES / pattern.length()).getBytes(StandardCharsets.US_ASCII);
    exchange.getRequestBody().readAllBytes();
    copyId(exchange);
    exchange.sendResponseHeaders(200, 0);
    OutputStream out = exchange.getResponseBody();
    try {
      while (true) {
        out.write(batch);
        sentBytes.addAndGet(batch.length);
      }
    } catch (IOException e) {
      closedFloods.incrementAndGet();
      throw e;
    }
  }

  private void respond(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    copyId(exchange);
    byte[] body = EVENTS.getBytes(StandardCharsets.US_ASCII);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static void copyId(HttpExchange exchange) {
    exchange.getResponseHeaders().set("x-id", exchange.getRequestHeaders().getFirst("x-id"));
    exchange.getResponseHeaders().set("x-signature", "signed");
  }

  private static ServingConfig config() {
    return new ServingConfig(
        1,
        List.of(
            route("/once/", CallKind.NON_IDEMPOTENT, FLOODED),
            route("/again/", CallKind.IDEMPOTENT, MIXED),
            route("/stream/", CallKind.STREAM, FLOODED),
            route("/stream-once/", CallKind.STREAM, FLOODED),
            route("/stream-mixed/", CallKind.STREAM, MIXED)),
        List.of(
            new ServiceSpec(FLOODED, 32, 0, 0, Optional.empty()),
            new ServiceSpec(MIXED, 32, 0, 0, Optional.empty())),
        false,
        Map.of(),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  private static RouteSpec route(String path, CallKind kind, String service) {
    return new RouteSpec(
        path,
        "127.0.0.1",
        path,
        kind,
        !path.endsWith("-once/"),
        DEADLINE_MILLIS,
        500,
        1,
        2,
        false,
        List.of(),
        List.of(new RouteSpec.WeightedService(service, 1)));
  }

  private static EndpointSpec endpointSpec(String id, String service, HttpServer server) {
    String address = "127.0.0.1:" + server.getAddress().getPort();
    return new EndpointSpec(id, service, address, "d1", "r1", 8, false, 0, 1, "", 0);
  }

  private HttpServer startEndpoint(HttpHandler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    server.setExecutor(serverThreads);
    server.createContext("/", handler);
    server.start();
    return server;
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }
}
