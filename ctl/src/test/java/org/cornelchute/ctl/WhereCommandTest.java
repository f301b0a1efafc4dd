package org.cornelchute.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cornelchute.core.cli.ExitCode;
import org.cornelchute.entry.direct.CallHeaderNames;
import org.cornelchute.entry.direct.DirectEntryDaemon;
import org.cornelchute.entry.direct.DirectSettings;
import org.cornelchute.entry.direct.EntryAddress;
import org.cornelchute.entry.direct.ServingStateSource;
import org.cornelchute.net.util.FreePort;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WorkspaceSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** The command against a running entry, over real sockets. */
@Timeout(60)
class WhereCommandTest {

  private static final String LOOPBACK = "127.0.0.1";
  private static final String KEY = "secret-key";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private DisposableServer near;
  private DisposableServer far;
  private DirectEntryDaemon entry;
  private String callers;
  private String operators;

  @BeforeEach
  void start() throws IOException {
    near = startEndpoint("near");
    far = startEndpoint("far");
    callers = FreePort.findAddress(LOOPBACK);
    operators = FreePort.findAddress(LOOPBACK);
    entry =
        new DirectEntryDaemon(
            settings(callers, FreePort.findAddress(LOOPBACK), operators),
            headerNames(),
            state(
                List.of(
                    endpoint("near", "d1", near.port(), false),
                    endpoint("far", "d2", far.port(), false),
                    endpoint("drains", "d1", near.port(), true))),
            1);
    entry.start();
  }

  @AfterEach
  void stop() {
    entry.close();
    near.disposeNow();
    far.disposeNow();
  }

  private static DisposableServer startEndpoint(String name) {
    return HttpServer.create()
        .host(LOOPBACK)
        .handle(
            (request, response) ->
                response
                    .header("x-id", request.requestHeaders().get("x-id", ""))
                    .header("x-signature", "signed")
                    .sendString(Mono.just(name)))
        .bindNow();
  }

  private static CallHeaderNames headerNames() {
    return new CallHeaderNames(
        "x-id",
        "x-deadline",
        "x-instance",
        "x-weights",
        "x-workspace",
        "x-priority",
        "x-tokens",
        "x-parts",
        "x-hint",
        "last-event-id",
        "x-not-executed",
        "x-signature",
        "x-version",
        "x-load",
        "x-limit",
        "x-leaving");
  }

  private static DirectSettings settings(String callers, String readiness, String operators) {
    DirectSettings defaults = DirectSettings.DEFAULTS;
    return new DirectSettings(
        "e1",
        "d1",
        Map.of("d1", "r1"),
        callers,
        readiness,
        "",
        operators,
        LOOPBACK + ":1",
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
  }

  private static EndpointSpec endpoint(String id, String domain, int port, boolean draining) {
    return new EndpointSpec(id, "s", LOOPBACK + ":" + port, domain, "r1", 8, draining, 0, 1, "", 0);
  }

  private static ServingStateSource state(List<EndpointSpec> endpoints) {
    RouteSpec route =
        new RouteSpec(
            "draft",
            LOOPBACK,
            "/v1/",
            CallKind.IDEMPOTENT,
            false,
            6_000,
            500,
            2,
            2,
            false,
            List.of(),
            List.of(new RouteSpec.WeightedService("s", 1)));
    ServingConfig config =
        new ServingConfig(
            7,
            List.of(route),
            List.of(new ServiceSpec("s", 32, 0, 0, Optional.empty())),
            true,
            Map.of(KEY, new WorkspaceSpec("red", 0, List.of())),
            ServingConfig.CallerLimits.DEFAULTS);
    return (loop, client, clock, listener) -> {
      listener.recordFirstStart();
      listener.updateConfig(config);
      listener.updateEvacuatedDomains(Set.of());
      listener.updateEntries(Map.of("e1", new EntryAddress("", "r1")));
      listener.updateEndpoints(endpoints);
      loop.scheduleAtFixedRate(
          () -> listener.recordConfirmation(clock.getAsLong()), 0, 100, TimeUnit.MILLISECONDS);
    };
  }

  private int run(String... arguments) {
    return CtlProgram.run(new PrintStream(out), new PrintStream(err), arguments);
  }

  private int where(String target, String... options) {
    String[] arguments = new String[options.length + 4];
    arguments[0] = "where";
    arguments[1] = target;
    arguments[2] = "--member";
    arguments[3] = "http://" + operators;
    System.arraycopy(options, 0, arguments, 4, options.length);
    return run(arguments);
  }

  private HttpResponse<String> get(String uri, String... headers) throws Exception {
    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + uri));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Guards against an explanation that names another endpoint than a call right after it gets. */
  @Test
  void namesTheEndpointThatCallsGet() throws Exception {
    for (int i = 0; i < 5; i++) {
      out.reset();
      assertThat(where(LOOPBACK + "/v1/x", "--workspace", "red", "--json")).isEqualTo(ExitCode.OK);
      JsonNode explanation = new ObjectMapper().readTree(out.toString());
      assertThat(explanation.path("route").asText()).isEqualTo("draft");
      assertThat(explanation.path("priority").asInt()).isZero();
      String choice = explanation.path("services").path(0).path("choice").asText();
      HttpResponse<String> response =
          get(callers + "/v1/x", "Authorization", "Bearer " + KEY, "x-id", "c" + i);
      assertThat(response.statusCode()).isEqualTo(200);
      assertThat(response.body()).isEqualTo(choice).isEqualTo("near");
    }
  }

  @Test
  void printsCandidatesWithReasons() {
    assertThat(
            where(
                LOOPBACK + "/v1/x",
                "--workspace",
                "red",
                "--tokens",
                "1330,105",
                "--parts",
                "1f:800,2a:30",
                "--deadline",
                "6000"))
        .isEqualTo(ExitCode.OK);
    assertThat(out.toString())
        .contains("route draft, priority 0, workspace red, configuration 7")
        .contains("service s, 100.0% of the calls")
        .containsPattern("near +d1 +8 +0 +0\\.0 +1\\.00 +0 ms +0\\.000")
        .containsPattern("far +d2 +8 +0 +0\\.0 +1\\.00 +0 ms +0\\.500")
        .containsPattern("drains .* draining")
        .contains("sent to near")
        .doesNotContain(KEY);
  }

  @Test
  void printsRejections() {
    assertThat(where(LOOPBACK + "/none")).isEqualTo(ExitCode.OK);
    assertThat(where(LOOPBACK + "/v1/x")).isEqualTo(ExitCode.OK);
    assertThat(out.toString())
        .contains("rejected: UNKNOWN_ROUTE, no route matches host and path")
        .contains("rejected: UNKNOWN_KEY, key belongs to no workspace");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "127.0.0.1|--json||is not HOST/PATH",
        "/v1/x|--json||is not HOST/PATH",
        "a b/v1/x|--json||host must be a host name",
        "127.0.0.1:80/v1/x|--json||host must be a host name",
        "127.0.0.1/v1/x?y|--json||have no query",
        "127.0.0.1/v1/x|--workspace|blue|no key belongs to workspace blue",
        "127.0.0.1/v1/x|--tokens|many|tokens must be PROMPT,MAXIMUM_OUTPUT",
        "127.0.0.1/v1/x|--tokens|-1,2|tokens must be PROMPT,MAXIMUM_OUTPUT",
        "127.0.0.1/v1/x|--parts|1f|parts must be ID:TOKENS",
        "127.0.0.1/v1/x|--deadline|0|deadline must be a positive number",
      })
  void rejectsInvalidInput(String target, String option, String value, String message) {
    int code = value == null ? where(target, option) : where(target, option + "=" + value);
    assertThat(code).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).startsWith("cornelctl: ").contains(message);
    assertThat(out.toString()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/where|host must be",
        "/where?host=a|path must",
        "/where?host=%25zz|host must be",
        "/where?host=a&path=/b&key=c|unknown parameter",
        "/where?host=a&host=b&path=/c|host is given more than once",
      })
  void answersInvalidQueriesWith400(String uri, String message) throws Exception {
    HttpResponse<String> response = get(operators + uri);
    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(new ObjectMapper().readTree(response.body()).path("error").asText())
        .contains(message);
  }

  /** Guards against a connection that is closed without a response. */
  @Test
  void answersMalformedEscapesWith400() throws Exception {
    int colon = operators.indexOf(':');
    try (Socket socket = new Socket(LOOPBACK, Integer.parseInt(operators.substring(colon + 1)))) {
      String request = "GET /where?host=%zz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(response).startsWith("HTTP/1.1 400 ").contains("malformed escape");
    }
  }

  /** Guards against a page of the port that is lost beside the new one. */
  @Test
  void keepsTheMetrics() throws Exception {
    assertThat(get(operators + "/metrics").body()).contains("cornelchute_calls_open");
    where(LOOPBACK + "/v1/x", "--workspace", "red");
    assertThat(get(operators + "/metrics").body())
        .contains("cornelchute_calls_arrived_total 0")
        .contains("cornelchute_calls_open 0");
  }

  @Test
  void reportsPortsThatExplainNothing() throws Exception {
    assertThat(run("where", "a/b", "--member", "http://127.0.0.1:11")).isEqualTo(ExitCode.FAILED);
    assertThat(err.toString()).contains("cannot reach");
    for (String body : List.of("{}", "null", "text")) {
      DisposableServer other =
          HttpServer.create()
              .host(LOOPBACK)
              .handle((q, r) -> r.sendString(Mono.just(body)))
              .bindNow();
      try {
        assertThat(run("where", "a/b", "--member", "http://127.0.0.1:" + other.port()))
            .isEqualTo(ExitCode.USAGE);
        assertThat(err.toString()).contains("explained no call");
      } finally {
        other.disposeNow();
      }
    }
  }

  @Test
  void needsTarget() {
    assertThat(run("where")).isEqualTo(ExitCode.USAGE);
    assertThat(err.toString()).contains("usage: cornelctl where HOST/PATH");
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(out.toString()).contains("where HOST/PATH").contains("--workspace");
  }
}
