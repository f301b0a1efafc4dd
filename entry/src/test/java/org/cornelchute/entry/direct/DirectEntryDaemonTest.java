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

/** An entry as a caller meets it, over real sockets, before endpoints that this test plays. */
class DirectEntryDaemonTest {

  private static final CallHeaderNames HEADER_NAMES =
      new CallHeaderNames(
          "x-id",
          "x-left",
          "x-instance",
          "x-weights",
          "x-workspace",
          "x-rank",
          "x-tokens",
          "x-hint",
          "last-event-id",
          "x-not-run",
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
    DirectSettings d = DirectSettings.DEFAULTS;
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
            d.keyAgeMillis(),
            d.configMillis(),
            d.versionMillis(),
            d.retryRatio(),
            d.retryAllowance(),
            d.retryWindowSeconds(),
            d.coldOverrun(),
            d.coldAllowance(),
            8);
    entry =
        new DirectEntryDaemon(
            settings,
            HEADER_NAMES,
            (own, client, clock, views) -> {
              eventLoop = own;
              views.updateConfig(config());
              views.updateEvacuatedDomains(Set.of());
              views.updateEndpoints(
                  List.of(
                      endpointSpec("good", healthyEndpoint),
                      endpointSpec("full", overloadedEndpoint)));
              views.recordConfirmation(clock.getAsLong());
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

  /** Pattern: callers that gave up while the entry stood still. */
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
      try (Socket s = new Socket(address.substring(0, colon), port)) {
        String q =
            "POST /order/ HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: left-%d\r\nx-left: 3000\r\n"
                + "Authorization: Bearer key\r\nContent-Length: 2\r\n\r\nhi";
        s.getOutputStream().write(String.format(q, i).getBytes(StandardCharsets.US_ASCII));
      }
    }
    TimeUnit.MILLISECONDS.sleep(1_500);
    assertThat(receivedRequests).isEmpty();
    assertThat(call("/order/", "key", "again").statusCode()).isEqualTo(200);
  }

  @Test
  void forwardsCompleteResponsesAndHidesTheKeyFromEndpoints() throws Exception {
    for (int i = 0; i < 6; i++) {
      HttpResponse<String> r = call("/order/x?y=1", "key", "body");
      assertThat(r.statusCode()).isEqualTo(200);
      assertThat(r.body()).isEqualTo("done body");
      assertThat(r.headers().firstValue("x-signature")).contains("signed");
    }
    assertThat(receivedRequests).allMatch(s -> s.equals("POST /order/x?y=1 workspace=w key=null"));
  }

  @Test
  void rejectsUnknownRoutesAndKeys() throws Exception {
    assertThat(call("/other/", "key", "").statusCode()).isEqualTo(404);
    assertThat(call("/order/", "wrong", "").statusCode()).isEqualTo(401);
    assertThat(receivedRequests).isEmpty();
  }

  @Test
  void reportsNotReadyAndClosesConnectionsWhileDraining() throws Exception {
    HttpRequest q = HttpRequest.newBuilder(URI.create("http://" + readiness + "/")).build();
    assertThat(httpClient.send(q, BodyHandlers.discarding()).statusCode()).isEqualTo(200);
    Thread leaving = new Thread(entry::drain);
    leaving.start();
    Thread.sleep(200);
    assertThat(httpClient.send(q, BodyHandlers.discarding()).statusCode()).isEqualTo(503);
    HttpResponse<String> last = call("/order/", "key", "");
    assertThat(last.statusCode()).isEqualTo(200);
    assertThat(last.headers().firstValue("connection")).contains("close");
    leaving.join();
  }

  /** Pattern: a caller holds on to an entry that stops, and asks for a long answer near its end. */
  @Test
  void rejectsNewCallsNearTheEndOfTheDrain() throws Exception {
    Thread held =
        new Thread(
            () -> {
              try {
                call("/order/hold", "key", "");
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    held.start();
    TimeUnit.MILLISECONDS.sleep(200);
    Thread leaving = new Thread(entry::drain);
    leaving.start();
    TimeUnit.MILLISECONDS.sleep(3_000);
    receivedRequests.clear();
    HttpResponse<String> late = call("/order/late", "key", "");
    assertThat(late.statusCode()).isEqualTo(503);
    assertThat(receivedRequests).isEmpty();
    held.join();
    leaving.join();
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

  private static EndpointSpec endpointSpec(String id, HttpServer s) {
    String at = "127.0.0.1:" + s.getAddress().getPort();
    return new EndpointSpec(id, SERVICE, at, "d1", "r1", 8, false, 0, 1, "", 0);
  }

  private void handleRequest(HttpExchange x) throws IOException {
    final byte[] body = x.getRequestBody().readAllBytes();
    receivedRequests.add(
        x.getRequestMethod()
            + " "
            + x.getRequestURI()
            + " workspace="
            + x.getRequestHeaders().getFirst("x-workspace")
            + " key="
            + x.getRequestHeaders().getFirst("Authorization"));
    if (x.getRequestURI().getPath().endsWith("hold")) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_RESPONSE_MILLIS));
    }
    x.getResponseHeaders().set("x-id", x.getRequestHeaders().getFirst("x-id"));
    x.getResponseHeaders().set("x-signature", "signed");
    byte[] text = ("done " + new String(body, StandardCharsets.UTF_8)).getBytes();
    x.sendResponseHeaders(200, text.length);
    x.getResponseBody().write(text);
    x.close();
  }

  private void refuseRequest(HttpExchange x) throws IOException {
    x.getRequestBody().readAllBytes();
    x.getResponseHeaders().set("x-id", x.getRequestHeaders().getFirst("x-id"));
    x.getResponseHeaders().set("x-not-run", "1");
    x.sendResponseHeaders(503, -1);
    x.close();
  }

  private static HttpServer startEndpoint(HttpHandler handler) throws IOException {
    HttpServer s =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    s.createContext("/", handler);
    s.start();
    return s;
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + s.getLocalPort();
    }
  }
}
