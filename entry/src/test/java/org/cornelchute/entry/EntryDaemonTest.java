package org.cornelchute.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelchute.net.control.ControlSettings;
import org.cornelchute.net.platform.ConfigurationRecord;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.weights.Digests;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests an entry over real sockets, with an HTTP server of this test as table service. */
class EntryDaemonTest {

  private static final String KEY = "secret";
  private static final int MAX_POLLS = 100;
  private static final long POLL_INTERVAL_MILLIS = 100;

  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private HttpServer tableService;
  private EntryDaemon entry;
  private int callerPort;
  private volatile String claim = "no claim";

  @BeforeEach
  void start() throws Exception {
    String rules = "key a " + digest(KEY) + " # asked: t\n";
    final ConfigurationRecord record =
        new ConfigurationRecord(1, "t", 0, "p", digest(rules), rules);
    tableService =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 16);
    tableService.createContext("/vms", exchange -> respond(exchange, "[]"));
    tableService.createContext("/table/config-head", exchange -> respond(exchange, row("1")));
    tableService.createContext(
        "/table/config-1", exchange -> respond(exchange, row(record.toJson())));
    tableService.createContext("/table/claim-", exchange -> respond(exchange, row(claim)));
    tableService.start();
    List<Integer> ports = freePorts(3);
    callerPort = ports.get(0);
    EntrySettings defaults = EntrySettings.DEFAULTS;
    ControlSettings member =
        new ControlSettings(
            "e1",
            "127.0.0.1",
            ports.get(1),
            ports.get(2),
            "region-1",
            "domain-1",
            "http://127.0.0.1:" + tableService.getAddress().getPort(),
            List.of());
    entry =
        new EntryDaemon(
            new EntrySettings(
                member,
                callerPort,
                defaults.deadlineMillis(),
                defaults.maxBodyBytes(),
                defaults.maxRequests(),
                defaults.queueCapacity(),
                defaults.maxWaitMillis(),
                defaults.subset(),
                defaults.strategy(),
                defaults.leaveGraceMillis()),
            1,
            (name, error) -> {},
            () -> {});
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
    tableService.stop(0);
  }

  /**
   * Guards against a claim that cannot be decoded, reported as an outage of the table service after
   * which the caller may send the request again.
   */
  @Test
  void reportsAnUnknownOutcomeIfTheClaimCannotBeDecoded() throws Exception {
    HttpResponse<String> response = call();
    for (int i = 0; i < MAX_POLLS && response.body().contains("no rules yet"); i++) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      response = call();
    }
    assertUnknownOutcome(response);
    for (String incomplete : List.of("null", "{}", "[]", "{\"request\":\"r\"}")) {
      claim = incomplete;
      assertUnknownOutcome(call());
    }
  }

  private static void assertUnknownOutcome(HttpResponse<String> response) {
    assertThat(response.statusCode()).as(response.body()).isEqualTo(502);
    assertThat(response.body()).contains("outcome_unknown").doesNotContain("unavailable");
    assertThat(response.headers().firstValue("Retry-After")).isEmpty();
  }

  private HttpResponse<String> call() throws Exception {
    return httpClient.send(
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + callerPort + "/services/s/order"))
            .header("Authorization", "Bearer " + KEY)
            .header("Idempotency-Key", "k")
            .POST(HttpRequest.BodyPublishers.ofString("body"))
            .build(),
        BodyHandlers.ofString());
  }

  private static String digest(String text) {
    return Digests.sha256(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String row(String value) {
    return "{\"value\":\""
        + value.replace("\\", "\\\\").replace("\"", "\\\"")
        + "\",\"version\":1}";
  }

  private static void respond(HttpExchange exchange, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  /** Returns different ports, which are all free at the same time. */
  private static List<Integer> freePorts(int count) throws IOException {
    Set<Integer> ports = new LinkedHashSet<>();
    while (ports.size() < count) {
      ports.add(FreePort.find("127.0.0.1"));
    }
    return List.copyOf(ports);
  }
}
