package org.cornelchute.entry.direct;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.cornelchute.policy.forward.CallKind;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.RouteSpec;
import org.cornelchute.policy.forward.ServiceSpec;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.WorkspaceSpec;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.slf4j.LoggerFactory;

/**
 * Endpoints that are silent for up to two seconds at some place of a response that is no stream,
 * and then go on.
 */
@Timeout(30)
class SilentPlainResponseTest {

  private static final String HOST = "127.0.0.1";
  private static final String SERVICE = "s";
  private static final String OTHER_SERVICE = "other";
  private static final String KEY = "key";
  private static final String DOMAIN = "d1";
  private static final String REGION = "r1";
  private static final List<CallKind> KINDS = List.of(CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT);
  private static final int ENDPOINTS = 3;
  private static final int SLOTS = 64;
  private static final int MAX_CONNECTIONS = 256;
  private static final long TIMEOUT_MILLIS = 12_000;
  private static final long CALLER_DEADLINE_MILLIS = 20_000;
  private static final long KEY_AGE_MILLIS = 60_000;
  private static final long IDLE_MILLIS = 15_000;
  private static final List<Long> SILENCES_MILLIS = List.of(500L, 1_000L, 2_000L);

  /** Silence at each place of one response, together within the timeout. */
  private static final long REPEATED_SILENCE_MILLIS = 500;

  /** Longer than the interval in which the entry checks the connections of its callers. */
  private static final long SILENCE_BESIDE_CHANGE_MILLIS = 1_900;

  /** Time from the arrival of all calls at their endpoints to the change. */
  private static final long CHANGE_AFTER_MILLIS = 100;

  /** Time between calls, so that they do not all connect at once. */
  private static final long CALL_INTERVAL_MILLIS = 3;

  private static final int MAX_POLLS = 500;
  private static final int POLL_INTERVAL_MILLIS = 20;
  private static final Set<String> END_KINDS = Set.of("answered", "refuse", "cut", "gone");

  private static final ListAppender<ILoggingEvent> LOG_APPENDER = new ListAppender<>();
  private static final Logger DECISION_LOGGER = (Logger) LoggerFactory.getLogger("decisions");

  /** What ends a response. */
  enum Framing {
    LENGTH("Content-Length: "),
    CHUNKS("Transfer-Encoding: chunked"),
    CLOSE("Connection: close"),
    UNANNOUNCED_CLOSE("x-other: 1");

    private final String field;

    Framing(String field) {
      this.field = field;
    }

    boolean endsOnClose() {
      return this == CLOSE || this == UNANNOUNCED_CLOSE;
    }

    String head(Map<String, String> request, int bodyBytes) {
      return ScriptedEndpoint.head(
          "200 OK", request, "x-signature: signed", field + (this == LENGTH ? bodyBytes : ""));
    }
  }

  /** Part of the response before which its endpoint is silent. */
  enum Place {
    BEFORE_HEAD,
    INSIDE_HEAD,
    BEFORE_BODY,
    INSIDE_BODY,
    BEFORE_END,
    INSIDE_END
  }

  /** Change of the configuration or of the directory during a silence. */
  enum Change {
    ROUTES_REMOVED(Setup::withoutRoutes),
    SERVICES_REMOVED(Setup::withoutServices),
    SPLIT_MOVED(setup -> setup.withWeights(0, 1)),
    SERVICE_DROPPED_FROM_SPLIT(setup -> setup.withWeights(-1, 1)),
    TIMEOUT_SHORTENED(setup -> setup.withTimeout(100)),
    KEYS_REMOVED(Setup::withoutKeys),
    REGIONS_CHANGED(setup -> setup.withRegions(List.of("r2"))),
    IDLE_TIMEOUT_SHORTENED(setup -> setup.withIdleTimeout(1)),
    ENDPOINTS_UNLISTED(null),
    DOMAIN_EVACUATED(null);

    /** Changes the configuration, null if that stays as it is. */
    private final UnaryOperator<Setup> change;

    Change(UnaryOperator<Setup> change) {
      this.change = change;
    }

    void apply(ServingStateListener listener) {
      if (change != null) {
        listener.updateConfig(change.apply(Setup.DEFAULT).config(2));
      } else if (this == ENDPOINTS_UNLISTED) {
        listener.updateEndpoints(List.of());
      } else {
        listener.updateEvacuatedDomains(Set.of(DOMAIN));
      }
    }
  }

  @BeforeAll
  static void startLog() {
    LOG_APPENDER.start();
    DECISION_LOGGER.addAppender(LOG_APPENDER);
  }

  @AfterAll
  static void stopLog() {
    DECISION_LOGGER.detachAppender(LOG_APPENDER);
  }

  /** Failure: a call whose endpoint was silent for a while got no complete response. */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @EnumSource(Framing.class)
  void deliversTheWholeResponse(Framing framing) throws Exception {
    List<Case> cases = new ArrayList<>();
    for (CallKind kind : KINDS) {
      for (Place place : Place.values()) {
        for (long millis : SILENCES_MILLIS) {
          cases.add(new Case(framing.name(), kind, framing, EnumSet.of(place), millis));
        }
      }
      Set<Place> all = EnumSet.allOf(Place.class);
      cases.add(new Case(framing.name(), kind, framing, all, REPEATED_SILENCE_MILLIS));
    }
    try (Cluster cluster = new Cluster(cases)) {
      cluster.checkAll(listener -> {});
    }
  }

  /** Failure: a change of the configuration ended a call that waited for a silent endpoint. */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @EnumSource(Change.class)
  void deliversTheWholeResponseBesideChange(Change change) throws Exception {
    List<Case> cases = new ArrayList<>();
    for (CallKind kind : KINDS) {
      for (Framing framing : Framing.values()) {
        for (Place place : List.of(Place.BEFORE_HEAD, Place.INSIDE_BODY, Place.INSIDE_END)) {
          Set<Place> places = EnumSet.of(place);
          cases.add(new Case(change.name(), kind, framing, places, SILENCE_BESIDE_CHANGE_MILLIS));
        }
      }
    }
    try (Cluster cluster = new Cluster(cases)) {
      cluster.checkAll(change::apply);
    }
  }

  private static List<String> logLines(String id) {
    synchronized (LOG_APPENDER) {
      return LOG_APPENDER.list.stream()
          .map(ILoggingEvent::getFormattedMessage)
          .filter(line -> line.contains(" subject=" + id + " "))
          .toList();
    }
  }

  private static List<String> endLines(String id) {
    return logLines(id).stream()
        .filter(line -> END_KINDS.contains(line.substring(0, line.indexOf(' '))))
        .toList();
  }

  /** Waits until a call has an end in the log, which may be written after its response is sent. */
  private static void awaitEndLine(String id) throws InterruptedException {
    for (int i = 0; i < MAX_POLLS && endLines(id).isEmpty(); i++) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * One call, and the response of its endpoint.
   *
   * @param run name of the test run, unique
   * @param silenceMillis time of silence at each of the places
   */
  private record Case(
      String run, CallKind kind, Framing framing, Set<Place> places, long silenceMillis) {

    String id() {
      String place = places.size() == 1 ? places.iterator().next().name() : "ALL";
      return run + "." + kind + "." + framing + "." + place + "." + silenceMillis;
    }

    /** Returns the body of the response, which differs from those of all other calls. */
    String body() {
      return (id() + " ").repeat(100);
    }

    /** Returns the response in parts, one for each place. */
    List<String> parts(Map<String, String> request) {
      String body = body();
      String head = framing.head(request, body.length());
      int inHead = head.length() / 2;
      List<String> parts = new ArrayList<>(List.of(head.substring(0, inHead)));
      parts.add(head.substring(inHead));
      int half = body.length() / 2;
      int end = body.length() - 1;
      switch (framing) {
        case LENGTH -> {
          parts.add(body.substring(0, half));
          parts.add(body.substring(half, end - 1));
          parts.add(body.substring(end - 1, end));
          parts.add(body.substring(end));
        }
        case CHUNKS -> {
          String chunk = ScriptedEndpoint.chunk(body.substring(0, half));
          String last = ScriptedEndpoint.lastChunk();
          parts.add(chunk.substring(0, half / 2));
          parts.add(chunk.substring(half / 2) + ScriptedEndpoint.chunk(body.substring(half)));
          parts.add(last.substring(0, 2));
          parts.add(last.substring(2));
        }
        default -> {
          parts.add(body.substring(0, half));
          parts.add(body.substring(half, end));
          parts.add(body.substring(end));
          parts.add("");
        }
      }
      return parts;
    }

    boolean answer(Map<String, String> request, ScriptedEndpoint.Output output) throws IOException {
      List<String> parts = parts(request);
      for (Place place : Place.values()) {
        output.pause(places.contains(place) ? silenceMillis : 0);
        output.write(parts.get(place.ordinal()));
      }
      return !framing.endsOnClose();
    }
  }

  /** An entry before endpoints that answer the cases of one run. */
  private static final class Cluster implements AutoCloseable {

    private final List<Case> cases;
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private final CompletableFuture<Consumer<Consumer<ServingStateListener>>> state =
        new CompletableFuture<>();
    private final HttpClient client =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String address = EntryFixture.freeAddress();
    private final DirectEntryDaemon entry;

    Cluster(List<Case> cases) throws IOException {
      this.cases = cases;
      List<EndpointSpec> specs = new ArrayList<>();
      for (int i = 0; i < ENDPOINTS; i++) {
        ScriptedEndpoint endpoint = new ScriptedEndpoint(this::answer);
        endpoints.add(endpoint);
        specs.add(
            new EndpointSpec(
                "i" + i,
                SERVICE,
                HOST + ":" + endpoint.port(),
                DOMAIN,
                REGION,
                SLOTS,
                false,
                0,
                1,
                "",
                0));
      }
      ServingStateSource source = EntryFixture.fixedState(Setup.DEFAULT.config(1), specs);
      entry =
          new DirectEntryDaemon(
              EntryFixture.settings(
                  address,
                  EntryFixture.freeAddress(),
                  "",
                  EntryFixture.freeAddress(),
                  KEY_AGE_MILLIS),
              EntryFixture.HEADER_NAMES,
              (loop, wireClient, clock, listener) -> {
                source.start(loop, wireClient, clock, listener);
                loop.execute(
                    () -> state.complete(change -> loop.execute(() -> change.accept(listener))));
              },
              1);
      entry.start();
    }

    private boolean answer(Map<String, String> request, ScriptedEndpoint.Output output)
        throws IOException {
      for (Case c : cases) {
        if (c.id().equals(request.get("x-id"))) {
          return c.answer(request, output);
        }
      }
      return false;
    }

    /** Makes all calls at once, with a change beside them, and checks what became of them. */
    void checkAll(Consumer<ServingStateListener> change) throws Exception {
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (Case c : cases) {
        responses.add(call(c));
        TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
      }
      awaitArrivals();
      TimeUnit.MILLISECONDS.sleep(CHANGE_AFTER_MILLIS);
      state.get().accept(change);
      for (int i = 0; i < cases.size(); i++) {
        check(cases.get(i), responses.get(i));
      }
    }

    private void awaitArrivals() throws InterruptedException {
      for (int i = 0; i < MAX_POLLS && arrivedCallCount() < cases.size(); i++) {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      }
      assertThat(arrivedCallCount()).as("calls that arrived at endpoints").isEqualTo(cases.size());
    }

    private long arrivedCallCount() {
      return endpoints.stream()
          .flatMap(endpoint -> endpoint.requests.stream())
          .map(request -> request.get("x-id"))
          .distinct()
          .count();
    }

    private CompletableFuture<HttpResponse<String>> call(Case c) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/" + c.kind() + "/"))
              .header("x-id", c.id())
              .header("x-deadline", Long.toString(CALLER_DEADLINE_MILLIS))
              .header("Authorization", "Bearer " + KEY)
              .POST(HttpRequest.BodyPublishers.ofString("{}"))
              .build();
      return client.sendAsync(request, BodyHandlers.ofString());
    }

    private void check(Case c, CompletableFuture<HttpResponse<String>> call) throws Exception {
      HttpResponse<String> response =
          call.handle(
                  (received, failure) -> {
                    assertThat(failure).as(c.id()).isNull();
                    return received;
                  })
              .get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      awaitEndLine(c.id());
      String as = c.id() + " " + logLines(c.id());
      assertThat(response.statusCode()).as(as).isEqualTo(200);
      assertThat(response.body()).as(as).isEqualTo(c.body());
      assertThat(endLines(c.id())).as(as).hasSize(1).allMatch(line -> line.startsWith("answered "));
      if (c.kind() == CallKind.NON_IDEMPOTENT) {
        assertThat(executionCount(c)).as(as).isEqualTo(1);
      }
    }

    private long executionCount(Case c) {
      return endpoints.stream()
          .flatMap(endpoint -> endpoint.requests.stream())
          .filter(request -> c.id().equals(request.get("x-id")))
          .count();
    }

    @Override
    public void close() throws IOException {
      entry.close();
      for (ScriptedEndpoint endpoint : endpoints) {
        endpoint.close();
      }
    }
  }

  /**
   * Settings of the configuration.
   *
   * @param weights weights of the two services of each route; one that is negative is not listed
   */
  private record Setup(
      boolean hasRoutes,
      boolean hasServices,
      boolean hasKeys,
      List<Double> weights,
      List<String> regions,
      long timeoutMillis,
      long idleMillis) {

    static final Setup DEFAULT =
        new Setup(true, true, true, List.of(1.0, 0.0), List.of(), TIMEOUT_MILLIS, IDLE_MILLIS);

    Setup withoutRoutes() {
      return new Setup(false, hasServices, hasKeys, weights, regions, timeoutMillis, idleMillis);
    }

    Setup withoutServices() {
      return new Setup(hasRoutes, false, hasKeys, weights, regions, timeoutMillis, idleMillis);
    }

    Setup withoutKeys() {
      return new Setup(hasRoutes, hasServices, false, weights, regions, timeoutMillis, idleMillis);
    }

    Setup withWeights(double first, double second) {
      List<Double> changed = List.of(first, second);
      return new Setup(
          hasRoutes, hasServices, hasKeys, changed, regions, timeoutMillis, idleMillis);
    }

    Setup withRegions(List<String> changed) {
      return new Setup(
          hasRoutes, hasServices, hasKeys, weights, changed, timeoutMillis, idleMillis);
    }

    Setup withTimeout(long millis) {
      return new Setup(hasRoutes, hasServices, hasKeys, weights, regions, millis, idleMillis);
    }

    Setup withIdleTimeout(long millis) {
      return new Setup(hasRoutes, hasServices, hasKeys, weights, regions, timeoutMillis, millis);
    }

    ServingConfig config(long version) {
      ServingConfig.CallerLimits limits = ServingConfig.CallerLimits.DEFAULTS;
      return new ServingConfig(
          version,
          hasRoutes
              ? List.of(route(CallKind.IDEMPOTENT), route(CallKind.NON_IDEMPOTENT))
              : List.of(),
          hasServices ? List.of(service(SERVICE), service(OTHER_SERVICE)) : List.of(),
          true,
          hasKeys ? Map.of(KEY, new WorkspaceSpec("w", 1, List.of())) : Map.of(),
          new ServingConfig.CallerLimits(
              limits.maxHeaderBytes(),
              limits.maxBodyBytes(),
              limits.headerTimeoutMillis(),
              idleMillis));
    }

    private RouteSpec route(CallKind kind) {
      List<RouteSpec.WeightedService> split = new ArrayList<>();
      for (int i = 0; i < weights.size(); i++) {
        if (weights.get(i) >= 0) {
          String service = i == 0 ? SERVICE : OTHER_SERVICE;
          split.add(new RouteSpec.WeightedService(service, weights.get(i)));
        }
      }
      return new RouteSpec(
          kind.name(),
          HOST,
          "/" + kind + "/",
          kind,
          false,
          timeoutMillis,
          500,
          1,
          2,
          false,
          regions,
          split);
    }

    private static ServiceSpec service(String name) {
      return new ServiceSpec(name, MAX_CONNECTIONS, 0, 0, Optional.empty());
    }
  }
}
