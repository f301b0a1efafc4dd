package org.cornelchute.agent;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.model.Generation;
import org.cornelchute.core.model.Member;
import org.cornelchute.core.model.Role;
import org.cornelchute.net.engine.EngineClient;
import org.cornelchute.net.frame.MessageCodec;
import org.cornelchute.net.platform.OriginClient;
import org.cornelchute.net.platform.TableClient;
import org.cornelchute.policy.placement.EngineState;
import org.cornelchute.policy.rules.RulesParser;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.SwarmOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** What an agent sends to its engine, over real sockets, while the rules change. */
@Timeout(30)
class RolloutDutyTest {

  private static final Map<String, byte[]> WEIGHTS =
      Map.of("v1", new byte[] {1, 2, 3}, "v2", new byte[] {4, 5, 6}, "v3", new byte[] {7, 8, 9});

  /** Time within which an agent that may load a version has sent the load. */
  private static final long LOAD_SECONDS = 3;

  private final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private final BlockingQueue<String> manifestReads = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> numberReads = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> loads = new LinkedBlockingQueue<>();

  /** Completes the reads of the last fencing number. */
  private final Sinks.Empty<Void> numberReadable = Sinks.empty();

  private DisposableServer server;
  private WeightsDuty weights;
  private RolloutDuty rollout;
  private long rulesVersion;

  @BeforeEach
  void start() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                r ->
                    r.get("/weights/m/{version}/manifest", this::sendManifest)
                        .get("/table/fence-a", this::sendNumber)
                        .post("/table", (q, s) -> s.sendString(Mono.just("{\"versions\":[1]}")))
                        .get("/engine/status", (q, s) -> s.sendString(Mono.just(status())))
                        .post("/engine/load", this::load))
            .bindNow();
    String url = "http://127.0.0.1:" + server.port();
    MetricRegistry metrics = new MetricRegistry();
    rollout =
        new RolloutDuty(
            "a",
            new OriginClient(url),
            new EngineClient(url),
            new FenceCounter(new TableClient(url), "a"),
            new NoControl(),
            () -> true,
            clock,
            metrics,
            (name, cause) -> {});
    weights =
        new WeightsDuty(
            new WeightsDuty.Options("a", "r1", () -> "r1", 0, false, SwarmOptions.DEFAULTS, false),
            new MessageCodec(),
            (manifest, chunk, callback) ->
                callback.accept(Either.right(WEIGHTS.get(manifest.version()))),
            clock,
            1,
            rollout,
            metrics,
            (name, cause) -> {});
    rollout.setWeightsDuty(weights);
    weights.start();
    rollout.start();
    rollout.updateMembers(
        List.of(new Member("a", Role.AGENT, "", "r1", "d", "", 1, 1, false, Generation.NONE, "")),
        Set.of());
  }

  @AfterEach
  void stop() {
    rollout.close();
    weights.close();
    server.disposeNow();
  }

  /**
   * Failure: the wait for the fencing number of a load ended after another version was assigned,
   * and the engine was still commanded to load the version that no rule named any more.
   */
  @Test
  void sendsNoLoadOfVersionThatIsNoLongerAssigned() throws Exception {
    assign("v1");
    assertThat(numberReads.poll(LOAD_SECONDS, TimeUnit.SECONDS)).isNotNull();
    assign("v2");
    numberReadable.tryEmitEmpty();
    assertThat(loads.poll(LOAD_SECONDS, TimeUnit.SECONDS)).isEqualTo("v2");
  }

  /** Guards against a load that is waited for without end, because its chunks were dropped. */
  @Test
  void loadsNextVersionThoughChunksOfThePreviousOneWereDropped() throws Exception {
    assign("v1");
    assertThat(numberReads.poll(LOAD_SECONDS, TimeUnit.SECONDS)).isNotNull();
    assign("v2");
    TimeUnit.MILLISECONDS.sleep(300);
    assign("v3");
    TimeUnit.MILLISECONDS.sleep(300);
    numberReadable.tryEmitEmpty();
    assertThat(loads.poll(LOAD_SECONDS, TimeUnit.SECONDS)).isEqualTo("v3");
  }

  /** Assigns a version and returns once its manifest is read. */
  private void assign(String version) throws InterruptedException {
    String text = "place m " + version + " on d=1 # asked: desk\n";
    rollout.setRules(RulesParser.parse(++rulesVersion, text).get());
    String read;
    do {
      read = manifestReads.poll(LOAD_SECONDS, TimeUnit.SECONDS);
      assertThat(read).as("read of the manifest of " + version).isNotNull();
      // A read that takes long is repeated.
    } while (!read.equals(version));
  }

  private Publisher<Void> sendManifest(HttpServerRequest request, HttpServerResponse response) {
    String version = request.param("version");
    manifestReads.add(version);
    byte[] bytes = WEIGHTS.get(version);
    return response.sendString(Mono.just(Manifest.of("m", version, bytes, bytes.length).text()));
  }

  private Publisher<Void> sendNumber(HttpServerRequest request, HttpServerResponse response) {
    numberReads.add(request.uri());
    return numberReadable.asMono().then(response.status(404).send());
  }

  private Publisher<Void> load(HttpServerRequest request, HttpServerResponse response) {
    loads.add(new QueryStringDecoder(request.uri()).parameters().get("version").get(0));
    return request.receive().then(response.sendString(Mono.just("{}")).then());
  }

  private static String status() {
    return "{\"boot\":\"b\",\"model\":\"\",\"manifest\":\"\",\"fence\":0,\"capacity\":0}";
  }

  /** Ignores what the duty changes in other parts of the agent. */
  private static final class NoControl implements RolloutDuty.Control {

    @Override
    public void setServing(boolean ready, Generation generation) {}

    @Override
    public void announce(Generation generation, String wantedManifest) {}

    @Override
    public void onEngineState(EngineState state) {}
  }
}
