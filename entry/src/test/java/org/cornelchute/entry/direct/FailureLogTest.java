package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WorkspaceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests that the three kinds of failure in docs/OPERATIONS.md write the log lines named there. */
class FailureLogTest {

  private static final String SERVICE = "s";
  private static final long KEY_AGE_MILLIS = 2_000;
  private static final int SLOW_RESPONSE_MILLIS = 300;
  private static final int MAX_POLLS = 50;
  private static final int POLL_INTERVAL_MILLIS = 20;

  private final ListAppender<ILoggingEvent> logAppender = new ListAppender<>();
  private final Logger decisionLogger = (Logger) LoggerFactory.getLogger("decisions");
  private final HttpClient httpClient =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private HttpServer endpoint;
  private DirectEntryDaemon entry;
  private String address;

  @BeforeEach
  void start() throws IOException {
    endpoint = EntryFixture.startEndpoint(FailureLogTest::handleRequest, null);
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
                config(), List.of(EntryFixture.endpointSpec("i-1", SERVICE, endpoint))),
            1);
    logAppender.start();
    decisionLogger.addAppender(logAppender);
    entry.start();
  }

  @AfterEach
  void stop() {
    decisionLogger.detachAppender(logAppender);
    entry.close();
    endpoint.stop(0);
  }

  @Test
  void logsWhyCallsAreRejectedDespiteIdleEndpoints() throws Exception {
    TimeUnit.MILLISECONDS.sleep(KEY_AGE_MILLIS);
    assertThat(call("refused", "/order/")).isEqualTo(503);
    assertThat(awaitLogLine("refuse", "refused"))
        .contains("NOT_READY: keys are not confirmed ageMs=")
        .contains("rules=1");
  }

  @Test
  void logsEndpointAndReasonOfLostResponse() throws Exception {
    assertThat(call("lost", "/order/lost")).isEqualTo(502);
    assertThat(awaitLogLine("route", "lost"))
        .contains("choice=i-1", "attempt=1", "load=", "allowed=1");
    assertThat(awaitLogLine("broken", "lost"))
        .contains("choice=i-1", "begun=false", "parts=a1,b2 ");
    assertThat(awaitLogLine("refuse", "lost")).contains("choice=i-1", "ANSWER_LOST: ");
  }

  @Test
  void logsEndpointAndLatencyOfSlowCall() throws Exception {
    assertThat(call("late", "/order/slow")).isEqualTo(200);
    assertThat(awaitLogLine("route", "late")).contains("choice=i-1", "load=");
    String logLine = awaitLogLine("answered", "late");
    int ms = Integer.parseInt(logLine.replaceAll(".* ms=([0-9]+).*", "$1"));
    assertThat(ms).isGreaterThanOrEqualTo(SLOW_RESPONSE_MILLIS);
  }

  /** Returns a log line of a request; waits, since it may be written after the response is sent. */
  private String awaitLogLine(String kind, String id) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS; i++) {
      synchronized (logAppender) {
        for (ILoggingEvent event : logAppender.list) {
          if (event.getFormattedMessage().startsWith(kind + " subject=" + id + " ")) {
            return event.getFormattedMessage();
          }
        }
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
    return "no " + kind + " line of request " + id;
  }

  private int call(String id, String path) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("x-id", id)
            .header("Authorization", "Bearer key")
            .header("x-parts", "a1:40,b2:800,c3:9")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    return httpClient.send(request, BodyHandlers.discarding()).statusCode();
  }

  private static void handleRequest(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    if (exchange.getRequestURI().getPath().endsWith("lost")) {
      exchange.close();
      return;
    }
    if (exchange.getRequestURI().getPath().endsWith("slow")) {
      try {
        TimeUnit.MILLISECONDS.sleep(SLOW_RESPONSE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    exchange.getResponseHeaders().set("x-id", exchange.getRequestHeaders().getFirst("x-id"));
    exchange.getResponseHeaders().set("x-signature", "signed");
    exchange.sendResponseHeaders(200, -1);
    exchange.close();
  }

  private static ServingConfig config() {
    RouteSpec route =
        new RouteSpec(
            "r",
            "127.0.0.1",
            "/order/",
            CallKind.NON_IDEMPOTENT,
            false,
            2_000,
            200,
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
}
