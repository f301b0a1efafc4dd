package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoop;
import java.io.IOException;
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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WorkspaceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests an entry over real sockets, with HTTP servers of this test as endpoints. */
class DirectEntryDaemonTest {

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
  private static final String SERVICE = "s";
  private static final long SLOW_RESPONSE_MILLIS = 4_000;

  private final List<String> receivedRequests = Collections.synchronizedList(new ArrayList<>());
  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private HttpServer healthyEndpoint;
  private HttpServer overloadedEndpoint;
  private DirectEntryDaemon entry;
  private String address;
  private String readiness;
  private volatile EventLoop eventLoop;

  @BeforeEach
  void start() throws IOException {
    healthyEndpoint = startEndpoint(this::handleRequest);
    overloadedEndpoint = startEndpoint(this::refuseRequest);
    address = freeAddress();
    readiness = freeAddress();
    DirectSettings defaults = DirectSettings.DEFAULTS;
    DirectSettings settings =
        new DirectSettings(
            "e1",
            "d1",
            Map.of("d1", "r1"),
            address,
            readiness,
            freeAddress(),
            freeAddress(),
            "127.0.0.1:1",
            defaults.keyAgeMillis(),
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
              eventLoop = entryLoop;
              listener.recordFirstStart();
              listener.updateConfig(config());
              listener.updateEvacuatedDomains(Set.of());
              listener.updateEndpoints(
                  List.of(
                      endpointSpec("good", healthyEndpoint),
                      endpointSpec("full", overloadedEndpoint)));
              listener.recordConfirmation(clock.getAsLong());
            },
            1);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
    healthyEndpoint.stop(0);
    overloadedEndpoint.stop(0);
  }

  /**
   * After a stall, the entry reads requests whose callers have already disconnected; these must not
   * be forwarded.
   */
  @Test
  void doesNotForwardCallsIfCallersDisconnectedDuringStall() throws Exception {
    call("/order/", "key", "warm");
    receivedRequests.clear();
    CountDownLatch blocked = new CountDownLatch(1);
    eventLoop.execute(
        () -> {
          blocked.countDown();
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(900));
        });
    blocked.await();
    int colon = address.indexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    for (int i = 0; i < 5; i++) {
      try (Socket socket = new Socket(address.substring(0, colon), port)) {
        String request =
            "POST /order/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: left-%d\r\nx-deadline: 3000\r\n"
                + "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi";
        socket
            .getOutputStream()
            .write(String.format(request, i).getBytes(StandardCharsets.US_ASCII));
      }
    }
    TimeUnit.MILLISECONDS.sleep(1_500);
    assertThat(receivedRequests).isEmpty();
    assertThat(call("/order/", "key", "again").statusCode()).isEqualTo(200);
  }

  @Test
  void forwardsCompleteResponsesAndHidesTheKeyFromEndpoints() throws Exception {
    for (int i = 0; i < 6; i++) {
      HttpResponse<String> response = call("/order/x?y=1", "key", "body");
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo("done body");
      assertThat(response.headers().firstValue("x-signature")).contains("signed");
    }
    assertThat(receivedRequests)
        .allMatch(request -> request.equals("POST /order/x?y=1 workspace=w key=null"));
  }

  @Test
  void rejectsUnknownRoutesAndKeys() throws Exception {
    assertThat(call("/other/", "key", "").statusCode()).isEqualTo(404);
    assertThat(call("/order/", "wrong", "").statusCode()).isEqualTo(401);
    assertThat(receivedRequests).isEmpty();
  }

  @Test
  void reportsNotReadyAndClosesConnectionsWhileDraining() throws Exception {
    HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + readiness + "/")).build();
    assertThat(httpClient.send(request, BodyHandlers.discarding()).statusCode()).isEqualTo(200);
    Thread drainThread = new Thread(entry::drain);
    drainThread.start();
    Thread.sleep(200);
    assertThat(httpClient.send(request, BodyHandlers.discarding()).statusCode()).isEqualTo(503);
    HttpResponse<String> response = call("/order/", "key", "");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("connection")).contains("close");
    drainThread.join();
  }

  /**
   * A caller that keeps its connection to a draining entry may send a call late in the drain, which
   * might not end before the process is killed.
   */
  @Test
  void rejectsNewCallsNearTheEndOfTheDrain() throws Exception {
    Thread slowCall =
        new Thread(
            () -> {
              try {
                call("/order/hold", "key", "");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    slowCall.start();
    TimeUnit.MILLISECONDS.sleep(200);
    Thread drainThread = new Thread(entry::drain);
    drainThread.start();
    TimeUnit.MILLISECONDS.sleep(3_000);
    receivedRequests.clear();
    HttpResponse<String> lateResponse = call("/order/late", "key", "");
    assertThat(lateResponse.statusCode()).isEqualTo(503);
    assertThat(receivedRequests).isEmpty();
    slowCall.join();
    drainThread.join();
  }

  private HttpResponse<String> call(String path, String key, String body) throws Exception {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("x-id", "id-" + System.nanoTime())
            .header("Authorization", "Bearer " + key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build(),
        BodyHandlers.ofString());
  }

  private static ServingConfig config() {
    RouteSpec route =
        new RouteSpec(
            "r",
            "127.0.0.1",
            "/order/",
            CallKind.NON_IDEMPOTENT,
            false,
            6_000,
            500,
            1,
            2,
            false,
            List.of(),
            List.of(new RouteSpec.WeightedService(SERVICE, 1)));
    return new ServingConfig(
        1,
        List.of(route),
        List.of(new ServiceSpec(SERVICE, 32, 0, 0, Optional.empty())),
        true,
        Map.of("key", new WorkspaceSpec("w", 1, List.of())),
        ServingConfig.CallerLimits.DEFAULTS);
  }

  private static EndpointSpec endpointSpec(String id, HttpServer server) {
    String address = "127.0.0.1:" + server.getAddress().getPort();
    return new EndpointSpec(id, SERVICE, address, "d1", "r1", 8, false, 0, 1, "", 0);
  }

  private void handleRequest(HttpExchange exchange) throws IOException {
    final byte[] requestBody = exchange.getRequestBody().readAllBytes();
    receivedRequests.add(
        exchange.getRequestMethod()
            + " "
            + exchange.getRequestURI()
            + " workspace="
            + exchange.getRequestHeaders().getFirst("x-workspace")
            + " key="
            + exchange.getRequestHeaders().getFirst("Authorization"));
    if (exchange.getRequestURI().getPath().endsWith("hold")) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_RESPONSE_MILLIS));
    }
    exchange.getResponseHeaders().set("x-id", exchange.getRequestHeaders().getFirst("x-id"));
    exchange.getResponseHeaders().set("x-signature", "signed");
    byte[] responseBody = ("done " + new String(requestBody, StandardCharsets.UTF_8)).getBytes();
    exchange.sendResponseHeaders(200, responseBody.length);
    exchange.getResponseBody().write(responseBody);
    exchange.close();
  }

  private void refuseRequest(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange.getResponseHeaders().set("x-id", exchange.getRequestHeaders().getFirst("x-id"));
    exchange.getResponseHeaders().set("x-not-executed", "1");
    exchange.sendResponseHeaders(503, -1);
    exchange.close();
  }

  private static HttpServer startEndpoint(HttpHandler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
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
